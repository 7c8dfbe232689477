package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/transport/pause"
)

const (
	// receiveTimeout closes a link on which no frame has arrived for four heartbeat
	// intervals: a connection can stop delivering without a reset.
	receiveTimeout = 700 * time.Millisecond
	// echoTimeout closes a link on which frames arrive, but none that acknowledges a
	// newer heartbeat of this side: the network drops what is sent to the agent, so
	// orders are lost. An agent acknowledges a heartbeat within two heartbeat
	// intervals. The timeout is below the 1.3 s after which an agent stops the runs of
	// an owner from which it receives nothing.
	echoTimeout = time.Second
	// minRedialDelay is the delay before a lost link is dialled again.
	minRedialDelay = 50 * time.Millisecond
	// maxRedialDelay bounds the delay, which doubles with each failed dial. It is also
	// how much later an agent that is reachable again may be found.
	maxRedialDelay = 300 * time.Millisecond
	// maxDialTimeout bounds the wait for the first frame on a new link. The first attempt
	// waits for minDialTimeout, and each failed one doubles it. A host without power drops
	// the SYN packet, and the kernel retransmits it only after a second: with a single long
	// attempt, an agent that came back 50 ms after the dial was unreachable for another 0.7
	// to 1 s. An agent answers a dial within 20 ms, and within 100 ms on a host that is
	// five times slower.
	maxDialTimeout = 700 * time.Millisecond
	minDialTimeout = 150 * time.Millisecond
)

// LinkHandler handles the events of links. For each link its methods are called one at a
// time, except LinkBeforeSend, which may be called concurrently with the others.
type LinkHandler interface {
	// LinkUp returns what the first frame of a new session claims, and its start.
	LinkUp(node string, session int64) *corepb.ToAgent
	// LinkFrame handles a received frame.
	LinkFrame(node string, session int64, f *corepb.FromAgent)
	// LinkDown is called when a session has ended.
	LinkDown(node string, session int64)
	// LinkBeforeSend adds the process's current state, such as drains, to a frame that
	// is about to be sent.
	LinkBeforeSend(f *corepb.ToAgent)
}

// Dialer creates the links of one process. Session numbers increase across all its links,
// because an agent treats a claim with a lower session number than the last one as late, also
// when it arrives on a link that was dialled later. If each link counted its own sessions, an
// agent would refuse the claims of a link that was closed and dialled again.
type Dialer struct {
	self     string
	handler  LinkHandler
	sessions atomic.Int64
}

// NewDialer returns a dialer for the process with the node name self.
func NewDialer(self string, h LinkHandler) *Dialer { return &Dialer{self: self, handler: h} }

// Link maintains a connection to one agent and reconnects when it is lost.
type Link struct {
	Node, Addr string

	dialer *Dialer
	// session is the number of the latest session. Only the goroutine of run uses it.
	session int64
	cancel  context.CancelFunc
	done    chan struct{}

	mu     sync.Mutex
	client corepb.CoreClient       // guarded by mu; nil while down
	out    *outbox[corepb.ToAgent] // guarded by mu
	// endSession ends the current session; nil while the link is down. Guarded by mu.
	endSession context.CancelFunc
}

// Dial starts a link to an agent, which stays until Close is called or ctx ends.
func (d *Dialer) Dial(ctx context.Context, node, addr string) *Link {
	ctx, cancel := context.WithCancel(ctx)
	l := &Link{Node: node, Addr: addr, dialer: d, cancel: cancel, done: make(chan struct{})}
	go l.run(ctx)
	return l
}

// Reconnect ends the current session, if there is one. The link then dials again and starts a
// new session.
func (l *Link) Reconnect() {
	l.mu.Lock()
	end := l.endSession
	l.mu.Unlock()
	if end != nil {
		end()
	}
}

// Close closes the link and waits for its goroutines.
func (l *Link) Close() {
	l.cancel()
	<-l.done
}

// Send calls fill to extend the next frame and has that frame sent immediately. It does
// nothing while the link is down.
func (l *Link) Send(fill func(*corepb.ToAgent)) {
	if out := l.outbox(); out != nil {
		out.add(fill)
	}
}

// SendWithNextFrame is like Send, but leaves the content until the next frame that is sent
// anyway, at the latest after heartbeatInterval.
func (l *Link) SendWithNextFrame(fill func(*corepb.ToAgent)) {
	if out := l.outbox(); out != nil {
		out.addWithoutWake(fill)
	}
}

func (l *Link) outbox() *outbox[corepb.ToAgent] {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out
}

// Client returns the gRPC client of the agent, or nil while the link is down.
func (l *Link) Client() corepb.CoreClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client
}

// Up reports whether the link has a session.
func (l *Link) Up() bool { return l.Client() != nil }

func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	delay, timeout := minRedialDelay, minDialTimeout
	for ctx.Err() == nil {
		up, err := l.runSession(ctx, timeout)
		timeout = min(2*timeout, maxDialTimeout)
		if up {
			delay, timeout = minRedialDelay, minDialTimeout
			klog.InfoS("Lost the link to an agent", "agent", l.Node, "session", l.session, "err", err)
		}
		if pause.For(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// runSession opens one connection and serves it until it ends. It reports whether the agent
// sent a first frame within timeout.
func (l *Link) runSession(ctx context.Context, timeout time.Duration) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStaticStreamWindowSize(flowControlWindow),
		grpc.WithStaticConnWindowSize(flowControlWindow),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRedialDelay, Multiplier: 1.5, MaxDelay: maxRedialDelay},
			MinConnectTimeout: timeout,
		}))
	if err != nil {
		return false, errors.Wrap(err, "create gRPC client for the link")
	}
	defer func() {
		if err := conn.Close(); err != nil {
			klog.V(1).InfoS("Failed to close the link to an agent", "agent", l.Node, "err", err)
		}
	}()
	watchdog := newWatchdog(timeout, cancel)
	defer watchdog.stop()
	client := corepb.NewCoreClient(conn)
	stream, err := client.Exchange(ctx)
	if err != nil {
		return false, errors.Wrap(err, "open the stream of the link")
	}
	if err := stream.Send(&corepb.ToAgent{Node: l.dialer.self}); err != nil {
		return false, errors.Wrap(err, "send the first frame of the link")
	}
	if _, err := stream.Recv(); err != nil {
		return false, errors.Wrap(err, "receive the first frame of the link")
	}
	return true, l.serve(ctx, cancel, watchdog, client, stream)
}

func (l *Link) serve(ctx context.Context, cancel context.CancelFunc, w *watchdog, client corepb.CoreClient, stream grpc.BidiStreamingClient[corepb.ToAgent, corepb.FromAgent]) error {
	l.session = l.dialer.sessions.Add(1)
	session := l.session
	w.reset(receiveTimeout)
	out := newOutbox[corepb.ToAgent]()
	// What is sent while LinkUp collects the first frame goes with that. A release would be lost
	// otherwise after the frame has named the shard.
	l.mu.Lock()
	l.client, l.out, l.endSession = client, out, cancel
	l.mu.Unlock()
	first := l.dialer.handler.LinkUp(l.Node, session)
	out.add(func(f *corepb.ToAgent) {
		f.SessionStart, f.Claims = first.GetSessionStart(), append(f.Claims, first.GetClaims()...)
	})
	klog.InfoS("Linked to an agent", "agent", l.Node, "addr", l.Addr, "session", session)
	var writer conc.WaitGroup
	writer.Go(func() {
		defer cancel()
		l.write(ctx, stream, out)
	})
	err := l.read(session, w, stream)
	cancel()
	l.mu.Lock()
	l.client, l.out, l.endSession = nil, nil, nil
	l.mu.Unlock()
	out.close()
	writer.Wait()
	l.dialer.handler.LinkDown(l.Node, session)
	return err
}

func (l *Link) write(ctx context.Context, stream grpc.BidiStreamingClient[corepb.ToAgent, corepb.FromAgent], out *outbox[corepb.ToAgent]) {
	var n int64
	out.pump(ctx, func(f *corepb.ToAgent) bool {
		n++
		f.Heartbeat = n
		l.dialer.handler.LinkBeforeSend(f)
		// read receives the reason for a failure from the stream.
		return stream.Send(f) == nil
	})
}

func (l *Link) read(session int64, w *watchdog, stream grpc.BidiStreamingClient[corepb.ToAgent, corepb.FromAgent]) error {
	var echoed int64
	echo := newWatchdog(echoTimeout, w.expire)
	defer echo.stop()
	for {
		f, err := stream.Recv()
		if err != nil {
			if w.fired() {
				return errors.New("silence")
			}
			return err
		}
		w.reset(receiveTimeout)
		if f.GetHeartbeat() > echoed {
			echoed = f.GetHeartbeat()
			echo.reset(echoTimeout)
		}
		l.dialer.handler.LinkFrame(l.Node, session, f)
	}
}

// watchdog calls cancel when its time passes without a reset.
type watchdog struct {
	timer  *time.Timer
	cancel func()
	fire   atomic.Bool
}

func newWatchdog(d time.Duration, cancel func()) *watchdog {
	w := &watchdog{cancel: cancel}
	w.timer = time.AfterFunc(d, w.expire)
	return w
}

func (w *watchdog) expire() {
	w.fire.Store(true)
	w.cancel()
}

func (w *watchdog) reset(d time.Duration) { w.timer.Reset(d) }
func (w *watchdog) stop()                 { w.timer.Stop() }
func (w *watchdog) fired() bool           { return w.fire.Load() }
