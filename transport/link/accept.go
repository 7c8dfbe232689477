package link

import (
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/protocol/wire"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
	"github.com/shallotstep/shallotstep/state"
)

// incoming is a stream that a peer has opened.
type incoming = grpc.BidiStreamingServer[nodepb.Frame, nodepb.Frame]

// node is the gRPC service.
type node struct {
	nodepb.UnimplementedNodeServer
	links *Links
}

func (l *Links) newServer() *grpc.Server {
	creds := insecure.NewCredentials()
	if l.opt.TLS != nil {
		creds = credentials.NewTLS(l.opt.TLS.Server)
	}
	server := grpc.NewServer(
		grpc.Creds(creds),
		grpc.ConnectionTimeout(l.opt.DialTimeout),
		grpc.MaxConcurrentStreams(1),
		grpc.ReadBufferSize(readBuffer),
		grpc.StaticStreamWindowSize(window),
		grpc.StaticConnWindowSize(window),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxRecvMsgSize(l.maxFrameBytes()),
		grpc.MaxSendMsgSize(math.MaxInt32),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: unusedConnection,
			Time:              serverPing,
			Timeout:           pingTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPing}),
	)
	nodepb.RegisterNodeServer(server, &node{links: l})
	return server
}

func (l *Links) serve() {
	if err := l.server.Serve(l.opt.Listener); err != nil && !l.closed.Load() {
		klog.ErrorS(err, "Peer listener ended", "addr", l.opt.Addr)
	}
}

// Link serves one incoming link to its end.
func (n *node) Link(stream incoming) error {
	l := n.links
	hello, err := l.awaitHello(stream)
	if err == nil {
		err = l.checkHello(stream, hello)
	}
	if err != nil {
		l.reject(stream, err)
		return err
	}
	p := l.peer(state.NodeID(hello.GetNodeId()))
	p.learn(hello.GetAddr())
	return l.runIncoming(p, stream, hello.GetGeneration())
}

// awaitHello reads the first frame in a goroutine, because only the end of the
// handler ends a read on a server's stream.
func (l *Links) awaitHello(stream incoming) (*nodepb.Hello, error) {
	first := make(chan *nodepb.Hello, 1)
	ok := !l.closed.Load() && l.spawn(func() {
		f, err := stream.Recv()
		if err != nil {
			f = nil
		}
		first <- f.GetHello()
	})
	if !ok {
		return nil, status.Error(codes.Unavailable, "this node is leaving")
	}
	timer := time.NewTimer(l.opt.DialTimeout)
	defer timer.Stop()
	select {
	case hello := <-first:
		return hello, nil
	case <-timer.C:
		return nil, status.Error(codes.DeadlineExceeded, "no hello")
	case <-l.ctx.Done():
		return nil, status.Error(codes.Unavailable, "this node is leaving")
	}
}

func (l *Links) checkHello(stream incoming, h *nodepb.Hello) error {
	id := state.NodeID(h.GetNodeId())
	switch {
	case h.GetVersion() != wire.Version:
		return status.Errorf(codes.InvalidArgument, "protocol version %d, ours is %d", h.GetVersion(), wire.Version)
	case baseName(id) == "" || id == l.opt.Self:
		return status.Errorf(codes.InvalidArgument, "node id %q", id)
	case h.GetTo() != string(l.opt.Self):
		return status.Errorf(codes.FailedPrecondition, "this is %s", l.opt.Self)
	case l.opt.TLS == nil:
		return nil
	}
	from, _ := grpcpeer.FromContext(stream.Context())
	info, ok := from.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return status.Error(codes.Unauthenticated, "no TLS")
	}
	if err := l.opt.TLS.checkCertificate(id, &info.State); err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	return nil
}

func (l *Links) reject(stream incoming, err error) {
	reason := ReasonUnreachable
	switch status.Code(err) {
	case codes.InvalidArgument:
		reason = ReasonBadHello
	case codes.FailedPrecondition:
		reason = ReasonWrongPeer
	case codes.PermissionDenied, codes.Unauthenticated:
		reason = ReasonIdentity
	case codes.Unavailable:
		reason = ReasonClosed
	}
	l.metrics.rejected.WithLabelValues(string(reason)).Inc()
	from, _ := grpcpeer.FromContext(stream.Context())
	logRejected(from.Addr.String(), err)
}

// learn keeps the address of a peer that introduced itself. SetPeer's word goes
// before the peer's own.
func (p *peer) learn(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != "" && !p.declared && !p.forgotten {
		p.setAddrLocked(addr)
	}
}

func (l *Links) runIncoming(p *peer, stream incoming, generation uint64) error {
	cut := make(chan struct{})
	s := newSession(p, stream)
	s.peerGeneration = generation
	s.hangUp = sync.OnceFunc(func() { close(cut) })
	if !p.attach(s) {
		return status.Error(codes.Unavailable, "link is outdated")
	}
	ended := make(chan error, 1)
	ok := l.spawn(func() { ended <- s.read() }) && l.spawn(s.write)
	if !ok {
		s.hangUp()
	}
	var err error
	select {
	case err = <-ended:
	case <-cut:
		err = errGone
	case <-l.ctx.Done():
		err = errGone
	}
	p.finish(s, err)
	if s.endedWell() {
		return nil
	}
	return status.Error(codes.Aborted, errors.Cause(err).Error())
}

func (s *session) endedWell() bool {
	s.peer.deliver.Lock()
	defer s.peer.deliver.Unlock()
	return !s.gone
}
