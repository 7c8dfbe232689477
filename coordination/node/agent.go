package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/admit"
	"github.com/shallotstep/shallotstep/coordination/declare"
	"github.com/shallotstep/shallotstep/coordination/gossip"
	"github.com/shallotstep/shallotstep/coordination/guard"
	"github.com/shallotstep/shallotstep/coordination/home"
	"github.com/shallotstep/shallotstep/coordination/member"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/state/defaults"
	"github.com/shallotstep/shallotstep/state/roster"
)

// Defaults of the guard's settings.
const (
	// DefaultBlindLimit is how long a guard goes on granting while it can't
	// know of newer roster records.
	DefaultBlindLimit = 6 * time.Hour
	// DefaultLinger is how long a stopped agent goes on refusing. News of a
	// leave reaches everybody within this time; the users allow a few seconds.
	DefaultLinger = 3 * time.Second
	// DefaultAskRetry is several round trips between failure domains.
	DefaultAskRetry = 20 * time.Millisecond
)

// AgentOptions are the settings of an agent. Every part may be zero but for
// Self; NewAgent fills in what the machines need of one another.
type AgentOptions struct {
	Self    state.Member
	Seed    uint64
	Guard   guard.Options
	Home    home.Options
	Admit   admit.Options
	Gossip  gossip.Options
	Member  member.Options
	Declare declare.Options
	// Linger is how long the agent goes on refusing after a planned stop has
	// nothing left to do. Zero means DefaultLinger.
	Linger time.Duration
}

// Agent is the machine of one agent daemon: the home of its share of jobs, the
// guard of claims, and the admission to the backend server beside it.
type Agent struct {
	self    state.Member
	guard   *guard.Guard
	home    *home.Home
	admit   *admit.Machine
	gossip  *gossip.Gossip
	member  *member.Machine
	declare *declare.Machine
	set     *declaration.Set

	linger     time.Duration
	departures departures
	former     formerHomes
	draining   atomic.Bool
	// doneSince is when the planned stop had nothing left to do.
	doneSince atomic.Pointer[time.Time]

	// rosterMu keeps roster changes in order while they are told to the other
	// machines.
	rosterMu sync.Mutex
	// seen is the roster the other machines were last told; guarded by rosterMu.
	seen *roster.Roster
}

// NewAgent returns the machine of one agent.
func NewAgent(o AgentOptions) *Agent {
	defaults.Positive(&o.Linger, DefaultLinger)
	a := &Agent{linger: o.Linger, self: o.Self, set: declaration.NewSet(), seen: roster.New()}
	o.Guard.Self = o.Self
	defaults.Positive(&o.Guard.Retention, claim.DefaultRetention)
	defaults.Positive(&o.Guard.Blind, DefaultBlindLimit)
	defaults.Positive(&o.Guard.AskRetry, DefaultAskRetry)
	o.Guard.RegionOf = a.regionOf
	a.guard = guard.New(o.Guard)
	o.Gossip.Self = o.Self
	o.Gossip.Seed = o.Seed
	o.Gossip.Agent = true
	o.Gossip.Peers = func() []state.Member { return a.guard.Roster().Members() }
	o.Gossip.Position = func(now time.Time) message.ReadPosition { return a.declare.Position(now) }
	a.gossip = gossip.New(o.Gossip)
	o.Admit.Self = o.Self
	a.admit = admit.New(o.Admit)
	o.Home.Self = o.Self.ID
	o.Home.Claims = a.guard
	o.Home.HomeOf = a.homeOf
	o.Home.View = placed{a.gossip, a.set}
	o.Home.Seed = o.Seed
	o.Home.PriorityOf = a.priorityOf
	a.home = home.New(o.Home)
	o.Member.Self = o.Self
	o.Member.Heard = a.gossip.LastHeard
	o.Member.Seed = o.Seed
	a.member = member.New(o.Member)
	o.Declare.Self = o.Self.ID
	o.Declare.Set = a.set
	o.Declare.Seed = o.Seed
	a.declare = declare.New(o.Declare)
	return a
}

func (a *Agent) regionOf(service string) string {
	spec, _, ok := a.set.Service(service)
	if !ok {
		return ""
	}
	return spec.Region
}

// priorityOf returns the priority that the operator has declared.
func (a *Agent) priorityOf(operator string) int {
	in, ok := a.set.Operator(operator)
	if !ok {
		return declaration.DefaultPriority
	}
	return in.File.Priority
}

// Handle takes a message from another node, or from this one.
func (a *Agent) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	switch m := msg.(type) {
	case message.Submit, message.Cancel, message.HandOverReply:
		return a.settle(now, a.home.Handle(now, from, m))
	case message.Report:
		a.gossip.Observe(now, m.Load)
		return a.settle(now, a.home.Handle(now, from, m))
	case message.Assign, message.TaskQuery, message.Drop, message.Drops:
		return a.admitted(now, a.admit.Handle(now, from, m))
	case message.RosterReply:
		for i := range m.Records {
			a.departures.note(m.Records[i].Data)
		}
		acts := a.settle(now, a.guard.Handle(now, from, m))
		return append(acts, a.rosterMoved(now)...)
	case message.Bar, message.ClaimAsk, message.ClaimReply, message.PullAsk, message.PullReply, message.RosterAsk:
		acts := a.settle(now, a.guard.Handle(now, from, m))
		return append(acts, a.rosterMoved(now)...)
	case message.LoadNews:
		return a.gossip.Handle(now, from, m)
	case message.DeclarationAsk, message.DeclarationReply:
		return a.declare.Handle(now, from, m)
	case message.HandOver:
		return a.takeOver(now, from, m)
	case message.Stop:
		return a.stop(now, from, m)
	}
	return nil
}

// settle brings the guard's verdicts to the home until none is left.
func (a *Agent) settle(now time.Time, acts []coordination.Action) []coordination.Action {
	var out []coordination.Action
	for len(acts) > 0 {
		act := acts[0]
		acts = acts[1:]
		switch verdict := act.(type) {
		case coordination.Granted:
			acts = append(acts, a.home.Verdict(now, act)...)
		case coordination.Denied:
			acts = append(acts, a.home.Verdict(now, a.whoKnows(verdict))...)
		default:
			out = append(out, act)
		}
	}
	return out
}

// admitted spreads the agent's own load after its admission changed it.
func (a *Agent) admitted(now time.Time, acts []coordination.Action) []coordination.Action {
	a.gossip.SetOwn(now, a.admit.Load())
	return acts
}

// Record takes a record read from the platform's log.
func (a *Agent) Record(now time.Time, stream coordination.Stream, offset int64, data []byte) []coordination.Action {
	switch stream {
	case coordination.StreamRoster:
		a.member.Read(now, offset, data)
		a.departures.note(data)
		acts := a.settle(now, a.guard.ApplyRoster(now, offset, data))
		return append(acts, a.rosterMoved(now)...)
	case coordination.StreamDeclarations:
		return a.declare.Record(now, offset, data)
	}
	return nil
}

// rosterMoved tells the other machines of a roster that the guard has taken.
func (a *Agent) rosterMoved(now time.Time) []coordination.Action {
	a.rosterMu.Lock()
	defer a.rosterMu.Unlock()
	r := a.guard.Roster()
	if r.Offset() == a.seen.Offset() {
		return nil
	}
	gone := departed(a.seen, r)
	if a.seen.Epoch() != r.Epoch() {
		a.former.note(a.seen)
		a.home.HomesMoved(now)
	}
	a.seen = r
	a.declare.Peers(memberIDs(r, a.self.ID))
	var acts []coordination.Action
	for _, id := range gone {
		a.gossip.Forget(now, id)
		if !a.departures.leaving(id) {
			acts = append(acts, a.peerGone(now, id)...)
		}
	}
	return acts
}

// peerGone tells the machines that a node is dead or has stopped.
func (a *Agent) peerGone(now time.Time, id state.NodeID) []coordination.Action {
	acts := a.settle(now, a.guard.PeerGone(now, id))
	acts = append(acts, a.settle(now, a.home.PeerGone(now, id))...)
	return append(acts, a.admitted(now, a.admit.PeerGone(now, id))...)
}

// departed lists the members of before that are not in after.
func departed(before, after *roster.Roster) []state.NodeID {
	if before.Epoch() == after.Epoch() {
		return nil
	}
	var gone []state.NodeID
	for _, m := range before.Members() {
		if _, ok := after.Member(m.ID); !ok {
			gone = append(gone, m.ID)
		}
	}
	return gone
}

// ReadThrough says that a read of the log that began at a time reached the
// stream's end, which is the offset.
func (a *Agent) ReadThrough(now time.Time, stream coordination.Stream, offset int64, began time.Time) []coordination.Action {
	switch stream {
	case coordination.StreamRoster:
		a.guard.SawLogEnd(began, offset)
		a.member.Roster(now, a.guard.Roster())
	case coordination.StreamDeclarations:
		return a.declare.ReadThrough(now, offset)
	}
	return nil
}

// Gone says that the log no longer keeps the records that were to be read next.
// The guard goes on from the next valid snapshot.
func (a *Agent) Gone(time.Time, coordination.Stream, int64) []coordination.Action { return nil }

// ReadFailed says that a read of the log failed; it is tried again.
func (a *Agent) ReadFailed(now time.Time, stream coordination.Stream) []coordination.Action {
	if stream == coordination.StreamDeclarations {
		return a.declare.ReadFailed(now)
	}
	return nil
}

// AppendFailed says that an append had no confirmed effect. refused is true
// when the record certainly isn't in the log.
func (a *Agent) AppendFailed(now time.Time, ap coordination.Append, refused bool) []coordination.Action {
	switch ap.Stream {
	case coordination.StreamRoster:
		if refused {
			a.member.AppendFailed(now, ap.Data)
		}
	case coordination.StreamDeclarations:
		return a.declare.AppendFailed(now, ap.Data, failureOf(refused))
	}
	return nil
}

// Announce takes the backend server's announcement.
func (a *Agent) Announce(now time.Time, b state.Backend) []coordination.Action {
	return a.admitted(now, a.admit.Announce(now, b))
}

// Withdraw takes the backend server's planned leave.
func (a *Agent) Withdraw(now time.Time, id string) []coordination.Action {
	return a.admitted(now, a.admit.Withdraw(now, id))
}

// Finished says that a started task ended.
func (a *Agent) Finished(now time.Time, key state.TaskKey, r state.TaskResult) []coordination.Action {
	return a.admitted(now, a.admit.Finished(now, key, r))
}

// NotStarted says that the backend server certainly did not start a task.
func (a *Agent) NotStarted(now time.Time, key state.TaskKey, reason state.Reason) []coordination.Action {
	return a.admitted(now, a.admit.NotStarted(now, key, reason))
}

// StartUnknown says that a task may have been started and its end is lost.
func (a *Agent) StartUnknown(now time.Time, key state.TaskKey) []coordination.Action {
	return a.admitted(now, a.admit.StartUnknown(now, key))
}

// Usage takes a backend server's usage report.
func (a *Agent) Usage(now time.Time, report []state.Usage) []coordination.Action {
	return a.admitted(now, a.admit.Usage(now, report))
}

// PeerUp says that a link to a node was made.
func (a *Agent) PeerUp(time.Time, state.NodeID) []coordination.Action { return nil }

// PeerDown says that the link to a node broke.
func (a *Agent) PeerDown(now time.Time, id state.NodeID) []coordination.Action {
	if a.departures.down(id) {
		return a.peerGone(now, id)
	}
	return a.settle(now, a.home.PeerDown(now, id))
}

// Tick lets time pass.
func (a *Agent) Tick(now time.Time) []coordination.Action {
	a.handOverOnceLeft(now)
	acts := a.settle(now, a.guard.Tick(now))
	acts = append(acts, a.settle(now, a.home.Tick(now))...)
	acts = append(acts, a.admitted(now, a.admit.Tick(now))...)
	acts = append(acts, a.gossip.Tick(now)...)
	acts = append(acts, a.member.Tick(now)...)
	return append(acts, a.declare.Tick(now)...)
}

// Drain begins the planned stop: no new work from now on, and the roster is
// told first, so that shares move to their successors while the jobs at hand
// are finished. Refusing before leaving would turn callers away for as long as
// the running jobs last.
func (a *Agent) Drain(now time.Time) []coordination.Action {
	if a.draining.Swap(true) {
		return nil
	}
	a.member.Leave(now)
	acts := a.admitted(now, a.admit.Drain(now))
	return append(acts, a.settle(now, a.home.Drain(now))...)
}

// Draining reports whether the planned stop has begun.
func (a *Agent) Draining() bool { return a.draining.Load() }

// Done reports whether a draining agent may exit: its jobs and tasks are
// finished, its claims are known to those that guard them now, its stored answers
// are with the present homes of their jobs, and everybody has had time to learn
// that it left.
//
// Without the linger, tasks that others sent before they heard of the leave
// would meet a closed door, and their homes could not tell whether they had
// been started: jobs would fail on a planned stop. While it lingers the agent
// refuses them as not run, and they go elsewhere.
func (a *Agent) Done(now time.Time) bool {
	if !a.Draining() || !a.Idle() || !a.member.Left() || !a.guard.HandedOver() || !a.home.HandedOver() {
		return false
	}
	first := a.doneSince.Load()
	if first == nil {
		a.doneSince.CompareAndSwap(nil, &now)
		return false
	}
	return now.Sub(*first) >= a.linger
}

// Idle reports whether no job and no task is under way.
func (a *Agent) Idle() bool { return a.home.Idle() && a.admit.Idle() }

// Evicted reports whether the roster has dropped this incarnation.
func (a *Agent) Evicted() bool { return a.member.Evicted() }

// Ready reports whether the agent may get work.
func (a *Agent) Ready() bool {
	load := a.admit.Load()
	return !a.Draining() && !load.Draining && load.Slots > 0
}

// Roster returns the newest roster known.
func (a *Agent) Roster() *roster.Roster { return a.guard.Roster() }

// Declarations returns the declarations in force.
func (a *Agent) Declarations() *declaration.Set { return a.set }

// Load returns the agent's own load.
func (a *Agent) Load() state.AgentLoad { return a.admit.Load() }

// Gossip returns what is known of agents' loads.
func (a *Agent) Gossip() *gossip.Gossip { return a.gossip }

// Member returns the machine of the roster's records.
func (a *Agent) Member() *member.Machine { return a.member }

// Guard returns the guard of claims.
func (a *Agent) Guard() *guard.Guard { return a.guard }
