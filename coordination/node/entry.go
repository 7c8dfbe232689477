// Package node composes the machines of one daemon into one machine: messages,
// log records, announcements and ticks go in, actions come out. It still has no
// socket, clock or goroutine, so any harness can drive whole nodes.
package node

import (
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/declare"
	"github.com/shallotstep/shallotstep/coordination/gossip"
	"github.com/shallotstep/shallotstep/coordination/limit"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/coordination/route"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/state/roster"
)

// EntryOptions are the settings of an entry.
type EntryOptions struct {
	Self state.Member
	Seed uint64
	// Limits may be zero: the defaults of package limit.
	Limits limit.Options
	// Entries is how many entries share the callers; each lets in its part of
	// an operator's quota. Zero means one.
	Entries int
	// Gossip may be zero but for what NewEntry fills in.
	Gossip gossip.Options
	// Declare may be zero but for what NewEntry fills in.
	Declare declare.Options
}

// Entry is the machine of one entry daemon.
type Entry struct {
	self    state.Member
	keeper  *keeper
	route   *route.Router
	limits  *limit.Limits
	gossip  *gossip.Gossip
	declare *declare.Machine
	set     *declaration.Set

	departures departures
	commands   *commands
	// quotas is held while changed quotas are put in force.
	quotas sync.Mutex
}

// NewEntry returns the machine of one entry.
func NewEntry(o EntryOptions) *Entry {
	e := &Entry{self: o.Self, keeper: newKeeper(), set: declaration.NewSet()}
	e.commands = newCommands(o.Self.ID)
	e.keeper.applied = e.commands.applied
	o.Gossip.Self = o.Self
	o.Gossip.Seed = o.Seed
	o.Gossip.Peers = func() []state.Member { return e.keeper.Roster().Members() }
	o.Gossip.Position = func(now time.Time) message.ReadPosition { return e.declare.Position(now) }
	e.gossip = gossip.New(o.Gossip)
	e.limits = limit.New(o.Limits)
	e.limits.SetEntries(max(1, o.Entries))
	o.Declare.Self = o.Self.ID
	o.Declare.Set = e.set
	o.Declare.Seed = o.Seed
	o.Declare.Unread = e.unread
	e.declare = declare.New(o.Declare)
	e.route = route.New(route.Options{
		Self:   o.Self.ID,
		Roster: e,
		View:   placed{e.gossip, e.set},
		Limits: e.limits,
		Seed:   o.Seed,
	})
	return e
}

// Pair returns the pair of a job. It implements route.Roster.
func (e *Entry) Pair(service string, key state.JobKey) (home, witness state.NodeID, epoch state.Epoch, ok bool) {
	spec, _, ok := e.set.Service(service)
	if !ok {
		return "", "", 0, false
	}
	p := e.keeper.Roster().Pair(spec.Region, roster.ShareOf(key))
	return p.Home, p.Witness, p.Epoch, p.OK
}

// Alive reports whether id is a member or may still be reached for the jobs it
// holds. It implements route.Roster.
func (e *Entry) Alive(id state.NodeID) bool {
	r := e.keeper.Roster()
	if _, ok := r.Member(id); ok || e.departures.leaving(id) {
		return true
	}
	_, heard := e.gossip.LastHeard(id)
	return heard
}

func memberIDs(r *roster.Roster, self state.NodeID) []state.NodeID {
	members := r.Members()
	ids := make([]state.NodeID, 0, len(members))
	for _, m := range members {
		if m.ID != self {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Submit takes a submission for a declared service.
func (e *Entry) Submit(now time.Time, ticket uint64, job state.Job, digest state.Digest, deadline time.Duration) []coordination.Action {
	return e.route.Submit(now, ticket, job, digest, deadline)
}

// Query asks for the state of a job.
func (e *Entry) Query(now time.Time, ticket uint64, key state.JobKey) []coordination.Action {
	return e.route.Query(now, ticket, key)
}

// Cancel asks for a job to be stopped.
func (e *Entry) Cancel(now time.Time, ticket uint64, key state.JobKey) []coordination.Action {
	return e.route.Cancel(now, ticket, key)
}

// Abandon says that the caller of a ticket went away; its job goes on.
func (e *Entry) Abandon(now time.Time, ticket uint64) []coordination.Action {
	return e.route.Abandon(now, ticket)
}

// Apply takes an operator's declaration.
func (e *Entry) Apply(now time.Time, ticket uint64, operator string, base state.Version, raw []byte) []coordination.Action {
	return e.declare.Put(now, ticket, operator, base, raw)
}

// RestoreDeclarations makes what living processes have in force the whole truth,
// where no process has a complete view of the declarations. See declare.Restore.
func (e *Entry) RestoreDeclarations(now time.Time, ticket uint64) []coordination.Action {
	return e.declare.Restore(now, ticket)
}

// Handle takes a message from another node.
func (e *Entry) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	switch m := msg.(type) {
	case message.Answer:
		acts := e.keeper.behind(now, from, m.Epoch)
		return append(acts, e.route.Handle(now, from, m)...)
	case message.BarReply:
		acts := e.keeper.behind(now, from, m.Epoch)
		return append(acts, e.route.Handle(now, from, m)...)
	case message.Report:
		e.gossip.Observe(now, m.Load)
		return e.route.Handle(now, from, m)
	case message.RosterReply:
		return e.rosterRecords(now, m)
	case message.LoadNews:
		return e.gossip.Handle(now, from, m)
	case message.DeclarationAsk, message.DeclarationReply:
		return e.settle(e.declare.Handle(now, from, m))
	case message.StopReply:
		return e.commands.stopReply(from, m)
	}
	return nil
}

func (e *Entry) rosterRecords(now time.Time, m message.RosterReply) []coordination.Action {
	var acts []coordination.Action
	for _, r := range m.Records {
		acts = append(acts, e.rosterRecord(now, r.Offset, r.Data)...)
	}
	return acts
}

func (e *Entry) rosterRecord(now time.Time, offset int64, data []byte) []coordination.Action {
	e.departures.note(data)
	gone, moved := e.keeper.apply(offset, data)
	acts := e.commands.take()
	for _, id := range gone {
		e.gossip.Forget(now, id)
		if !e.departures.leaving(id) {
			acts = append(acts, e.route.PeerGone(now, id)...)
		}
	}
	if moved {
		e.declare.Peers(memberIDs(e.keeper.Roster(), e.self.ID))
		acts = append(acts, e.route.RosterChanged(now)...)
	}
	return acts
}

// Record takes a record read from the platform's log.
func (e *Entry) Record(now time.Time, stream coordination.Stream, offset int64, data []byte) []coordination.Action {
	switch stream {
	case coordination.StreamRoster:
		return e.rosterRecord(now, offset, data)
	case coordination.StreamDeclarations:
		return e.settle(e.declare.Record(now, offset, data))
	}
	return nil
}

// ReadThrough says that a read of the log that began at a time reached the
// stream's end, which is the offset.
func (e *Entry) ReadThrough(now time.Time, stream coordination.Stream, offset int64, began time.Time) []coordination.Action {
	if stream == coordination.StreamDeclarations {
		return e.declare.ReadThrough(now, offset)
	}
	return nil
}

// Gone says that the log no longer keeps the records that were to be read next.
func (e *Entry) Gone(now time.Time, stream coordination.Stream, first int64) []coordination.Action {
	if stream == coordination.StreamRoster {
		e.keeper.restart()
	}
	return nil
}

// ReadFailed says that a read of the log failed; it is tried again.
func (e *Entry) ReadFailed(now time.Time, stream coordination.Stream) []coordination.Action {
	if stream == coordination.StreamDeclarations {
		return e.declare.ReadFailed(now)
	}
	return nil
}

// AppendFailed says that an append had no confirmed effect. refused is true
// when the record certainly isn't in the log.
func (e *Entry) AppendFailed(now time.Time, a coordination.Append, refused bool) []coordination.Action {
	switch a.Stream {
	case coordination.StreamRoster:
		return e.commands.appendFailed(a.Data, refused)
	case coordination.StreamDeclarations:
		return e.declare.AppendFailed(now, a.Data, failureOf(refused))
	}
	return nil
}

func failureOf(refused bool) declare.Failure {
	if refused {
		return declare.FailureRefused
	}
	return declare.FailureUnknown
}

// settle brings the quotas in force up to date after declarations moved. The
// lock keeps a quota that was read before another record came from being set
// after that record's: it would stay in force until the operator's next one.
func (e *Entry) settle(acts []coordination.Action) []coordination.Action {
	e.quotas.Lock()
	defer e.quotas.Unlock()
	for _, operator := range e.set.Moved() {
		a, ok := e.set.Operator(operator)
		if !ok {
			continue
		}
		e.limits.SetQuota(operator, quotaOf(a.File))
	}
	return acts
}

func quotaOf(f *declaration.File) limit.Quota {
	return limit.Quota{
		TasksInFlight:  f.Quota.TasksInFlight,
		TasksPerSecond: float64(f.Quota.TasksPerSecond),
		Weight:         float64(f.Priority),
	}
}

// PeerUp says that a link to a node was made.
func (e *Entry) PeerUp(now time.Time, id state.NodeID) []coordination.Action {
	return e.route.PeerUp(now, id)
}

// PeerDown says that the link to a node broke.
func (e *Entry) PeerDown(now time.Time, id state.NodeID) []coordination.Action {
	if e.departures.down(id) {
		return e.route.PeerGone(now, id)
	}
	return e.route.PeerDown(now, id)
}

// Tick lets time pass.
func (e *Entry) Tick(now time.Time) []coordination.Action {
	return slices.Concat(e.route.Tick(now), e.gossip.Tick(now), e.declare.Tick(now), e.commands.tick(now))
}

// Drain refuses new submissions from now on; those under way are finished.
func (e *Entry) Drain(now time.Time) []coordination.Action { return e.route.Drain(now) }

// Idle reports whether no caller waits.
func (e *Entry) Idle() bool { return e.route.Idle() }

// Ready reports whether the entry knows a roster and the declarations.
func (e *Entry) Ready() bool {
	return len(e.keeper.Roster().Members()) > 0 && e.declare.Ready()
}

// Roster returns the newest roster known.
func (e *Entry) Roster() *roster.Roster { return e.keeper.Roster() }

// Declarations returns the declarations in force.
func (e *Entry) Declarations() *declaration.Set { return e.set }

// Gossip returns what is known of agents' loads.
func (e *Entry) Gossip() *gossip.Gossip { return e.gossip }

// Collectors returns the metrics of the machines.
func (e *Entry) Collectors() []prometheus.Collector {
	return []prometheus.Collector{e.route, e.limits, e.commands.resends}
}
