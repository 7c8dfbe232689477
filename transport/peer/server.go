package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
)

// AgentHandler handles the events of the links to an agent, and the calls to the owners beside
// it.
type AgentHandler interface {
	// Ready reports whether the agent knows what runs on its backend server.
	Ready() bool
	// Frame handles a received frame. An error closes the link.
	Frame(c *Caller, f *corepb.ToAgent) error
	// CallerDown is called when a link has ended.
	CallerDown(c *Caller)
	// CallerUp is called for a new link, before its first frame.
	CallerUp(c *Caller)
	// BeforeSend adds the agent's current state to a frame that is about to be sent.
	BeforeSend(c *Caller, f *corepb.FromAgent)
	// Submit, Lookup, Cancel and Pending are calls to an owner.
	Submit(shard int, id job.ID, spec job.Spec, p job.Policy, reply func(owner.Response))
	Lookup(shard int, id job.ID, reply func(owner.Response))
	Cancel(shard int, id job.ID, reply func(owner.Response))
	// Pending counts the pending jobs of a queue in the given shards, or in all that are open if none
	// is given.
	Pending(queue string, shards []int) owner.Response
	// Await calls reply when the job has ended.
	Await(shard int, id job.ID, reply func(owner.Response))
}

// Caller is a link as the agent sees it: the owner or entry that dialled it.
type Caller struct {
	Node string
	// Orders counts the orders that the agent has received on this link. The caller
	// subtracts them from the orders that it counts as in flight.
	Orders atomic.Int64

	// lastHeartbeat is the heartbeat number of the last frame that was handled. It is
	// sent back as the acknowledgement.
	lastHeartbeat atomic.Int64
	out           *outbox[corepb.FromAgent]
}

// NewCaller returns a caller with the given node name and an empty outbox.
func NewCaller(node string) *Caller { return &Caller{Node: node, out: newOutbox[corepb.FromAgent]()} }

// Send calls fill to extend the next frame and has that frame sent immediately.
func (c *Caller) Send(fill func(*corepb.FromAgent)) { c.out.add(fill) }

// SendWithNextFrame is like Send, but leaves the content until the next frame that is sent
// anyway, at the latest after heartbeatInterval.
func (c *Caller) SendWithNextFrame(fill func(*corepb.FromAgent)) { c.out.addWithoutWake(fill) }

// Server is the agent's side of the links. It also serves calls to owners.
type Server struct {
	corepb.UnimplementedCoreServer
	handler AgentHandler
	grpc    *grpc.Server
}

const (
	// handshakeTimeout is the time for the start of a connection.
	handshakeTimeout = 5 * time.Second
	// maxConnIdle is how long a connection may stay open without a call. A link has one all the time.
	maxConnIdle = 30 * time.Second
)

// NewServer returns a server that is not listening yet.
func NewServer(h AgentHandler) *Server {
	s := &Server{handler: h, grpc: grpc.NewServer(
		grpc.StaticStreamWindowSize(flowControlWindow), grpc.StaticConnWindowSize(flowControlWindow),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: maxConnIdle}),
	)}
	corepb.RegisterCoreServer(s.grpc, s)
	return s
}

// Serve accepts links on l until Stop is called.
func (s *Server) Serve(l net.Listener) error { return errors.Wrap(s.grpc.Serve(l), "serve links") }

// Stop closes all links immediately.
func (s *Server) Stop() { s.grpc.Stop() }

// Exchange implements corepb.CoreServer.
func (s *Server) Exchange(stream grpc.BidiStreamingServer[corepb.ToAgent, corepb.FromAgent]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if !s.handler.Ready() {
		return status.Error(codes.Unavailable, "the agent does not know yet what runs on its backend server")
	}
	c := NewCaller(first.GetNode())
	if err := stream.Send(&corepb.FromAgent{}); err != nil {
		return err
	}
	s.handler.CallerUp(c)
	defer s.handler.CallerDown(c)
	ctx, cancel := context.WithCancel(stream.Context())
	var writer conc.WaitGroup
	writer.Go(func() { s.write(ctx, stream, c) })
	defer writer.Wait()
	defer cancel()
	for {
		f, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := s.handler.Frame(c, f); err != nil {
			return status.Error(codes.Aborted, err.Error())
		}
		c.lastHeartbeat.Store(f.GetHeartbeat())
	}
}

func (s *Server) write(ctx context.Context, stream grpc.BidiStreamingServer[corepb.ToAgent, corepb.FromAgent], c *Caller) {
	c.out.pump(ctx, func(f *corepb.FromAgent) bool {
		f.Heartbeat = c.lastHeartbeat.Load()
		s.handler.BeforeSend(c, f)
		// Exchange returns the reason for a failure, which it receives from the stream.
		return stream.Send(f) == nil
	})
}

// awaitReply calls ask and returns the first response that ask's callback receives, or an error
// if ctx ends before.
func awaitReply(ctx context.Context, ask func(func(owner.Response))) (*corepb.Verdict, error) {
	got := make(chan owner.Response, 1)
	ask(func(v owner.Response) {
		select {
		case got <- v:
		default:
		}
	})
	select {
	case v := <-got:
		return core.ResponseToWire(v), nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// Submit implements corepb.CoreServer.
func (s *Server) Submit(ctx context.Context, p *corepb.Submission) (*corepb.Verdict, error) {
	return awaitReply(ctx, func(reply func(owner.Response)) {
		s.handler.Submit(int(p.GetShard()), job.ID(p.GetId()), core.SpecFromWire(p.GetSpec()), core.PolicyFromWire(p.GetPolicy()), reply)
	})
}

// Lookup implements corepb.CoreServer.
func (s *Server) Lookup(ctx context.Context, p *corepb.Question) (*corepb.Verdict, error) {
	return awaitReply(ctx, func(reply func(owner.Response)) {
		s.handler.Lookup(int(p.GetShard()), job.ID(p.GetId()), reply)
	})
}

// Cancel implements corepb.CoreServer.
func (s *Server) Cancel(ctx context.Context, p *corepb.Question) (*corepb.Verdict, error) {
	return awaitReply(ctx, func(reply func(owner.Response)) {
		s.handler.Cancel(int(p.GetShard()), job.ID(p.GetId()), reply)
	})
}

// Pending implements corepb.CoreServer.
func (s *Server) Pending(_ context.Context, p *corepb.Question) (*corepb.Verdict, error) {
	return core.ResponseToWire(s.handler.Pending(p.GetQueue(), core.ShardsFromWire(p.GetShards()))), nil
}

// Await implements corepb.CoreServer.
func (s *Server) Await(ctx context.Context, p *corepb.Question) (*corepb.Verdict, error) {
	return awaitReply(ctx, func(reply func(owner.Response)) {
		s.handler.Await(int(p.GetShard()), job.ID(p.GetId()), reply)
	})
}
