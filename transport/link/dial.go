package link

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/shallotstep/shallotstep/protocol/wire"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
	"github.com/shallotstep/shallotstep/state"
)

// dial makes a session to p and runs it to its end.
func (l *Links) dial(p *peer) {
	addr, ok := p.awaitBackoff()
	if !ok {
		return
	}
	l.metrics.dials.Inc()
	d, err := l.connect(p, addr)
	if err != nil {
		logDialFailed(p.id, addr, err)
		p.dialFailed(dialReason(err))
		return
	}
	defer d.close()
	s := newSession(p, d.stream)
	s.dialled = true
	s.hangUp = d.cancel
	s.closeSend = d.stream.CloseSend
	s.generation = d.generation
	s.peerGeneration = d.peerGeneration
	if !p.attach(s) {
		return
	}
	var writer conc.WaitGroup
	writer.Go(func() {
		defer crash()
		s.write()
	})
	p.finish(s, s.read())
	d.cancel()
	writer.Wait()
}

func newSession(p *peer, stream frameStream) *session {
	s := &session{
		peer:   p,
		stream: stream,
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
	s.lastUsed.Store(time.Now().UnixNano())
	return s
}

// awaitBackoff waits until the peer may be dialled. It returns false when there
// is no need any more, because the peer has dialled us or was forgotten.
func (p *peer) awaitBackoff() (string, bool) {
	p.mu.Lock()
	wait := time.Until(p.notBefore)
	p.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.links.ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links.ctx.Err() != nil {
		p.dropLocked(ReasonClosed)
	}
	if len(p.sessions) > 0 || len(p.queue.items) == 0 || p.addr == "" {
		p.dialing = false
		p.activateLocked()
		return "", false
	}
	return p.addr, true
}

// dialled is a stream to a peer that has greeted back, and all it stands on.
type dialled struct {
	conn   *grpc.ClientConn
	stream grpc.BidiStreamingClient[nodepb.Frame, nodepb.Frame]
	cancel context.CancelFunc
	// generation and peerGeneration are those of the two Hellos.
	generation, peerGeneration uint64
}

func (d *dialled) close() {
	d.cancel()
	// Nothing is lost with this error: the stream has ended.
	_ = d.conn.Close()
}

func (l *Links) connect(p *peer, addr string) (*dialled, error) {
	var refused atomic.Bool
	refuse := func(err error) {
		refused.Store(true)
		logIdentity(p.id, err)
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, l.dialOptions(p.id, refuse)...)
	if err != nil {
		return nil, errors.Wrap(err, "client")
	}
	ctx, cancel := context.WithCancel(l.ctx)
	d := &dialled{conn: conn, cancel: cancel}
	timer := time.AfterFunc(l.opt.DialTimeout, cancel)
	err = d.greet(ctx, p)
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err == nil {
		return d, nil
	}
	d.close()
	if refused.Load() {
		err = errors.Wrap(errIdentity, err.Error())
	}
	return nil, err
}

// greet opens the stream and waits for the other side's Hello. No message may
// be sent before: after a restart another incarnation answers at the address.
func (d *dialled) greet(ctx context.Context, p *peer) error {
	stream, err := nodepb.NewNodeClient(d.conn).Link(ctx)
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	d.stream = stream
	d.generation = p.currentGeneration()
	hello := p.links.hello()
	hello.To = string(p.id)
	hello.Generation = d.generation
	// A failed Send is told by Recv, with the reason.
	_ = stream.Send(&nodepb.Frame{Hello: hello})
	f, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "greet")
	}
	d.peerGeneration = f.GetHello().GetGeneration()
	if got := f.GetHello().GetNodeId(); got != string(p.id) {
		return errors.Wrapf(errWrongPeer, "expected %s, got %q", p.id, got)
	}
	if v := f.GetHello().GetVersion(); v != wire.Version {
		return status.Errorf(codes.InvalidArgument, "protocol version %d, ours is %d", v, wire.Version)
	}
	return nil
}

func (p *peer) currentGeneration() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

// hello introduces this node.
func (l *Links) hello() *nodepb.Hello {
	return &nodepb.Hello{NodeId: string(l.opt.Self), Addr: l.opt.Addr, Version: wire.Version}
}

func (l *Links) dialOptions(id state.NodeID, refused func(error)) []grpc.DialOption {
	creds := insecure.NewCredentials()
	if l.opt.TLS != nil {
		creds = credentials.NewTLS(l.opt.TLS.clientConfig(id, refused))
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}),
		grpc.WithNoProxy(),
		grpc.WithReadBufferSize(readBuffer),
		grpc.WithStaticStreamWindowSize(window),
		grpc.WithStaticConnWindowSize(window),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0),
		grpc.WithMaxHeaderListSize(maxHeaderBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: clientPing, Timeout: pingTimeout}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(l.maxFrameBytes()),
			grpc.MaxCallSendMsgSize(l.maxFrameBytes()),
		),
	}
}

func (l *Links) maxFrameBytes() int {
	return l.opt.MaxMessageBytes + maxBatchBytes + frameOverhead
}

func dialReason(err error) Reason {
	switch {
	case errors.Is(err, errWrongPeer):
		return ReasonWrongPeer
	case errors.Is(err, errIdentity):
		return ReasonIdentity
	}
	switch status.Code(errors.Cause(err)) {
	case codes.FailedPrecondition:
		return ReasonWrongPeer
	case codes.PermissionDenied, codes.Unauthenticated:
		return ReasonIdentity
	case codes.InvalidArgument:
		return ReasonBadHello
	default:
		return ReasonUnreachable
	}
}
