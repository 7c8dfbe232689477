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
	// silenceLimit ends a link on which nothing came for four heartbeats:
	// a connection can go silent without a reset.
	receiveTimeout = 700 * time.Millisecond
	// echoLimit ends a link on which frames come, but none that tells of newer
	// frames from this side: the way there is cut, and orders are lost. The agent
	// tells within two heartbeats. It is below the 1.3 s after which the agent
	// stops the runs of an owner that it does not hear.
	echoTimeout = time.Second
	// redialPause is the pause before a lost link is dialled again.
	minRedialDelay = 50 * time.Millisecond
	// maxRedialPause bounds it for an agent that stays away; one that is back
	// is found that much later.
	maxRedialDelay = 300 * time.Millisecond
	// dialTimeout bounds the first answer on a new link to an agent that stays away;
	// firstDialTimeout that of the first try, and each try has twice the last one's. A
	// host without power drops the opening packet, and the kernel repeats it after a
	// second only: with one long try, an agent that was back 50 ms after the dial was
	// missing for another 0.7 to 1 s. An agent answers a dial within 20 ms, on a host
	// that is five times slower within 100 ms.
	maxDialTimeout = 700 * time.Millisecond
	minDialTimeout = 150 * time.Millisecond
)

// LinkHandler hears of a link's life. Its methods are called one at a time, but for
// LinkComplete.
type LinkHandler interface {
	// LinkUp returns what to send first in a new session.
	LinkUp(node string, session int64) *corepb.ToAgent
	LinkFrame(node string, session int64, f *corepb.FromAgent)
	LinkDown(node string, session int64)
	// LinkComplete adds the process's news to a frame that is about to be sent.
	LinkBeforeSend(f *corepb.ToAgent)
}

// Dialer makes the links of one process. It numbers their sessions in one row: an agent
// takes a claim with a lower number than the last one's for a late one, also when it comes
// on another link that was dialled since. Numbered by each link, the claims of a link that
// is dialled again would be refused.
type Dialer struct {
	self     string
	handler  LinkHandler
	sessions atomic.Int64
}

// NewDialer returns a dialer for a process of that name.
func NewDialer(self string, h LinkHandler) *Dialer { return &Dialer{self: self, handler: h} }

// Link keeps a connection to one agent.
type Link struct {
	Node, Addr string

	dialer *Dialer
	// session is the number of the last one.
	session int64
	cancel  context.CancelFunc
	done    chan struct{}

	mu     sync.Mutex
	client corepb.CoreClient       // guarded by mu; nil while down
	out    *outbox[corepb.ToAgent] // guarded by mu
	// end ends the present session; nil while the link is down. Guarded by mu.
	endSession context.CancelFunc
}

// Dial keeps a link to an agent until Close.
func (d *Dialer) Dial(ctx context.Context, node, addr string) *Link {
	ctx, cancel := context.WithCancel(ctx)
	l := &Link{Node: node, Addr: addr, dialer: d, cancel: cancel, done: make(chan struct{})}
	go l.run(ctx)
	return l
}

// Renew ends the present session, if there is one. The link is made anew with the next.
func (l *Link) Reconnect() {
	l.mu.Lock()
	end := l.endSession
	l.mu.Unlock()
	if end != nil {
		end()
	}
}

// Close ends the link and waits for its goroutines.
func (l *Link) Close() {
	l.cancel()
	<-l.done
}

// Send lets fill extend the next frame and has it sent at once. While the link
// is down nothing is sent.
func (l *Link) Send(fill func(*corepb.ToAgent)) {
	if out := l.outbox(); out != nil {
		out.add(fill)
	}
}

// SendQuietly is Send for what may wait for the next frame that goes out anyway.
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

// Client returns the agent's service, or nil while the link is down.
func (l *Link) Client() corepb.CoreClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client
}

// Up reports whether frames go both ways.
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

// runSession makes one connection and serves it to its end. It reports whether
// the agent has answered, which may take as long as patience.
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
		return false, errors.Wrap(err, "link")
	}
	defer func() {
		if err := conn.Close(); err != nil {
			klog.V(1).InfoS("A link did not close", "agent", l.Node, "err", err)
		}
	}()
	watchdog := newWatchdog(timeout, cancel)
	defer watchdog.stop()
	client := corepb.NewCoreClient(conn)
	stream, err := client.Exchange(ctx)
	if err != nil {
		return false, errors.Wrap(err, "link")
	}
	if err := stream.Send(&corepb.ToAgent{Node: l.dialer.self}); err != nil {
		return false, errors.Wrap(err, "link")
	}
	if _, err := stream.Recv(); err != nil {
		return false, errors.Wrap(err, "link")
	}
	return true, l.serve(ctx, cancel, watchdog, client, stream)
}

func (l *Link) serve(ctx context.Context, cancel context.CancelFunc, w *watchdog, client corepb.CoreClient, stream grpc.BidiStreamingClient[corepb.ToAgent, corepb.FromAgent]) error {
	l.session = l.dialer.sessions.Add(1)
	session := l.session
	w.reset(receiveTimeout)
	out := newOutbox[corepb.ToAgent]()
	first := l.dialer.handler.LinkUp(l.Node, session)
	out.add(func(f *corepb.ToAgent) { f.Claims = first.GetClaims() })
	l.mu.Lock()
	l.client, l.out, l.endSession = client, out, cancel
	l.mu.Unlock()
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
		// The reader gets the reason of a failure.
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

// watchdog cancels when it has not been reset in time.
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
