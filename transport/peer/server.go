package peer

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
)

// AgentHandler is the agent behind the service.
type AgentHandler interface {
	// Ready reports whether the agent knows what runs on its backend server.
	Ready() bool
	// Frame takes in a frame. An error ends the link.
	Frame(c *Caller, f *corepb.ToAgent) error
	CallerDown(c *Caller)
	// CallerUp is told of a new link, before its first frame.
	CallerUp(c *Caller)
	// Complete adds the agent's news to a frame that is about to be sent.
	BeforeSend(c *Caller, f *corepb.FromAgent)
	// Submit, Lookup, Cancel and Pending are questions to an owner.
	Submit(shard int, id job.ID, spec job.Spec, p job.Policy, reply func(owner.Response))
	Lookup(shard int, id job.ID) owner.Response
	Cancel(shard int, id job.ID, reply func(owner.Response))
	Pending(queue string) owner.Response
	// Await replies when a job has ended.
	Await(shard int, id job.ID, reply func(owner.Response))
}

// Caller is the far end of a link at the agent.
type Caller struct {
	Node string
	// Orders counts the orders taken in; the caller subtracts them from what
	// it has under way.
	Orders atomic.Int64

	// heard is the number of the last frame that was taken in.
	lastHeartbeat atomic.Int64
	out           *outbox[corepb.FromAgent]
}

// NewCaller returns a caller of that name to which nothing is written yet.
func NewCaller(node string) *Caller { return &Caller{Node: node, out: newOutbox[corepb.FromAgent]()} }

// Send lets fill extend the next frame and has it sent at once.
func (c *Caller) Send(fill func(*corepb.FromAgent)) { c.out.add(fill) }

// SendQuietly is Send for what may wait for the next frame that goes out anyway.
func (c *Caller) SendWithNextFrame(fill func(*corepb.FromAgent)) { c.out.addWithoutWake(fill) }

// Server serves an agent's side of links, and questions to owners.
type Server struct {
	corepb.UnimplementedCoreServer
	handler AgentHandler
	grpc    *grpc.Server
}

// NewServer returns a server that is not listening yet.
func NewServer(h AgentHandler) *Server {
	s := &Server{handler: h, grpc: grpc.NewServer(grpc.StaticStreamWindowSize(flowControlWindow), grpc.StaticConnWindowSize(flowControlWindow))}
	corepb.RegisterCoreServer(s.grpc, s)
	return s
}

// Serve serves a listener until Stop.
func (s *Server) Serve(l net.Listener) error { return errors.Wrap(s.grpc.Serve(l), "links") }

// Stop ends all links at once.
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
		// The reader of this stream sees its end and says so.
		return stream.Send(f) == nil
	})
}

// await turns a reply into a return value.
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
func (s *Server) Lookup(_ context.Context, p *corepb.Question) (*corepb.Verdict, error) {
	return core.ResponseToWire(s.handler.Lookup(int(p.GetShard()), job.ID(p.GetId()))), nil
}

// Cancel implements corepb.CoreServer.
func (s *Server) Cancel(ctx context.Context, p *corepb.Question) (*corepb.Verdict, error) {
	return awaitReply(ctx, func(reply func(owner.Response)) {
		s.handler.Cancel(int(p.GetShard()), job.ID(p.GetId()), reply)
	})
}

// Pending implements corepb.CoreServer.
func (s *Server) Pending(_ context.Context, p *corepb.Question) (*corepb.Verdict, error) {
	return core.ResponseToWire(s.handler.Pending(p.GetQueue())), nil
}

// Await implements corepb.CoreServer.
func (s *Server) Await(ctx context.Context, p *corepb.Question) (*corepb.Verdict, error) {
	return awaitReply(ctx, func(reply func(owner.Response)) {
		s.handler.Await(int(p.GetShard()), job.ID(p.GetId()), reply)
	})
}
