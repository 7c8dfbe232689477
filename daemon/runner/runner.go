// Package runner drives one node's machine: it reads the clock and the
// platform's log, takes messages from the links, and carries out what the
// machine asks for. The roles share it; what only one role can do (start a
// task, answer a caller) it hands to that role.
package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
	"github.com/shallotstep/shallotstep/transport/platformlog"
)

const (
	// firstOffset is where a daemon that remembers nothing begins to read.
	firstOffset = 1
	// restInterval is between two ticks of a node without messages about work and
	// without any work that waits: no caller's deadline can be noticed late then.
	restInterval = 100 * time.Millisecond
	// quietAfter is how long after the last message about work the node counts
	// as quiet.
	quietAfter = 250 * time.Millisecond
	// forgetAfter is how long a departed member can still be reached: it hands
	// over its claims after it has left the roster.
	forgetAfter = 10 * time.Minute
)

// Machine is a node as the runner drives it; package node has the two kinds.
type Machine interface {
	Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action
	Record(now time.Time, stream coordination.Stream, offset int64, data []byte) []coordination.Action
	ReadThrough(now time.Time, stream coordination.Stream, offset int64, began time.Time) []coordination.Action
	ReadFailed(now time.Time, stream coordination.Stream) []coordination.Action
	Gone(now time.Time, stream coordination.Stream, first int64) []coordination.Action
	AppendFailed(now time.Time, a coordination.Append, refused bool) []coordination.Action
	PeerUp(now time.Time, id state.NodeID) []coordination.Action
	PeerDown(now time.Time, id state.NodeID) []coordination.Action
	Tick(now time.Time) []coordination.Action
	Roster() *roster.Roster
	// Idle says that no work waits here.
	Idle() bool
}

// Links carries messages to other nodes; package link has the real one.
type Links interface {
	SetPeer(id state.NodeID, addr string)
	Forget(id state.NodeID)
	Send(to state.NodeID, msg message.Message) bool
}

// Options are what a Runner works with.
type Options struct {
	Self    state.NodeID
	Machine Machine
	// Log bounds each append by its own timeout, which must be shorter than the
	// time after which package member takes it that an append can no longer
	// arrive.
	Log *platformlog.Client
	// Perform carries out the actions that are the role's own.
	Perform func(coordination.Action)
}

// Runner drives one machine. Bind must be called before Run.
type Runner struct {
	opts      Options
	links     Links
	bound     chan struct{} // closed once links is set
	peers     *peers
	positions positions
	// active is when the last message about work came, in Unix nanoseconds.
	active atomic.Int64
	// wake ends the rest between two ticks when work comes.
	wake chan struct{}
	// background holds appends under way.
	background conc.WaitGroup
}

// New returns a runner without links.
func New(o Options) *Runner {
	return &Runner{opts: o, bound: make(chan struct{}), wake: make(chan struct{}, 1), peers: newPeers(o.Self)}
}

// Bind gives the runner its links. The links' handlers are the runner's
// Receive, Up and Down, so one of the two has to be made first. A peer may
// connect before the links are bound; its messages wait.
func (r *Runner) Bind(links Links) {
	r.links = links
	close(r.bound)
}

// Receive takes a message from a link.
func (r *Runner) Receive(from state.NodeID, msg message.Message) {
	<-r.bound
	now := time.Now()
	r.noteWork(now, msg)
	r.peers.learn(r.links, msg)
	r.Execute(r.opts.Machine.Handle(now, from, msg))
}

// Up says that a link was made.
func (r *Runner) Up(id state.NodeID) {
	<-r.bound
	r.Execute(r.opts.Machine.PeerUp(time.Now(), id))
}

// Down says that a link broke.
func (r *Runner) Down(id state.NodeID) {
	<-r.bound
	r.Execute(r.opts.Machine.PeerDown(time.Now(), id))
}

// Execute carries out actions. Messages to the node itself are handled here and
// now, one after the other, so that a deep exchange needs no deep stack.
func (r *Runner) Execute(acts []coordination.Action) {
	for len(acts) > 0 {
		act := acts[0]
		acts = acts[1:]
		switch a := act.(type) {
		case coordination.Send:
			acts = append(acts, r.send(a)...)
		case coordination.Append:
			r.append(a)
		default:
			r.opts.Perform(act)
		}
	}
}

// noteWork keeps the ticks frequent while messages about work come and go.
func (r *Runner) noteWork(now time.Time, msg message.Message) {
	if _, soft := msg.(message.LoadNews); soft {
		return
	}
	rested := r.quiet(now)
	r.active.Store(now.UnixNano())
	if rested {
		r.poke()
	}
}

// poke ends the rest between two ticks. Without it the first work after a rest
// would wait for up to restInterval for all that a Tick does for it.
func (r *Runner) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) send(s coordination.Send) []coordination.Action {
	r.noteWork(time.Now(), s.Msg)
	if s.To == r.opts.Self {
		return r.opts.Machine.Handle(time.Now(), s.To, s.Msg)
	}
	if !r.links.Send(s.To, s.Msg) {
		klog.V(2).InfoS("A message was not sent", "to", s.To)
	}
	return nil
}

func (r *Runner) append(a coordination.Append) {
	r.background.Go(func() {
		if _, err := r.opts.Log.Append(context.Background(), a.Stream, a.Data); err != nil {
			klog.InfoS("An append to the log was not confirmed", "stream", a.Stream, "err", err)
			var refused *platformlog.ErrRefused
			r.appendFailed(a, errors.As(err, &refused))
		}
	})
}

func (r *Runner) appendFailed(a coordination.Append, refused bool) {
	r.Execute(r.opts.Machine.AppendFailed(time.Now(), a, refused))
}

// Run drives the machine until the context ends, and returns when all its
// goroutines have.
func (r *Runner) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { r.tick(ctx) })
	wg.Go(func() { r.follow(ctx, coordination.StreamRoster) })
	wg.Go(func() { r.follow(ctx, coordination.StreamDeclarations) })
	wg.Wait()
	r.background.Wait()
}

// tick calls the machine's Tick: often while messages come in, and seldom while
// the node is quiet. Waking up 200 times a second for nothing was most of what
// an idle daemon cost.
func (r *Runner) tick(ctx context.Context) {
	t := time.NewTimer(coordination.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			t.Reset(coordination.TickInterval)
		case now := <-t.C:
			r.Execute(r.opts.Machine.Tick(now))
			r.peers.sweep(r.links, now)
			t.Reset(r.interval(now))
		}
	}
}

func (r *Runner) interval(now time.Time) time.Duration {
	switch {
	case !r.quiet(now):
		return coordination.TickInterval
	case !r.opts.Machine.Idle():
		return coordination.IdleTickInterval
	}
	return restInterval
}

func (r *Runner) quiet(now time.Time) bool {
	return now.UnixNano()-r.active.Load() >= int64(quietAfter)
}

func (r *Runner) follow(ctx context.Context, stream coordination.Stream) {
	// Follow returns only the context's end.
	_ = r.opts.Log.Follow(ctx, stream, firstOffset, platformlog.Events{
		OnBatch: func(b platformlog.Batch, began time.Time) { r.batch(stream, b, began) },
		OnGone: func(g platformlog.Gone) {
			klog.InfoS("The log no longer keeps the next records", "stream", stream, "from", g.From, "first", g.First)
			r.Execute(r.opts.Machine.Gone(time.Now(), stream, g.First))
		},
		OnFailure: func(error) { r.Execute(r.opts.Machine.ReadFailed(time.Now(), stream)) },
	})
}

func (r *Runner) batch(stream coordination.Stream, b platformlog.Batch, began time.Time) {
	for _, rec := range b.Records {
		r.Execute(r.opts.Machine.Record(time.Now(), stream, rec.Offset, rec.Data))
	}
	r.positions.note(stream, b.Next, time.Now())
	if stream == coordination.StreamRoster && len(b.Records) > 0 {
		r.peers.follow(r.links, r.opts.Machine.Roster(), time.Now())
	}
	if b.CaughtUp() {
		r.Execute(r.opts.Machine.ReadThrough(time.Now(), stream, b.Next-1, began))
	}
}
