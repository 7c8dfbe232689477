package model

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/assignment"
	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/worker"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/state/job"
)

// ownerModel simulates an owner's process: it drives the owner.Shard of one epoch.
type ownerModel struct {
	w           *world
	name        string
	shard       *owner.Shard
	fleet       *owner.Fleet
	links       map[*agentModel]*link
	dead        bool
	frozenUntil time.Duration
	// replaced is set while another owner has the shard, and tenure counts how often the group has
	// taken the shard away.
	replaced bool
	tenure   int
	// assigned follows what the group says in the owner's joins.
	assigned assignment.Tracker
	// turnedAwayUntil is the time until which the store rejects the writes of this owner alone.
	turnedAwayUntil time.Duration
	// reopening is set once the shard is to be opened anew because the store has refused this owner.
	reopening bool
	drains    drainView
	// unconfirmed is set once the group may have assigned the shard to another owner.
	unconfirmed bool
	// joinedAt is when the owner last joined the group.
	joinedAt time.Duration
	// claimsPending is set while there may be links on which the shard is not claimed yet.
	claimsPending bool
	// writing is set while a batch is being written to the store.
	writing bool
	// rejected is set from a rejected write until the store accepts writes again.
	rejected bool
}

// link carries messages between an owner and an agent, in order each way.
type link struct {
	owner   *ownerModel
	agent   *agentModel
	session int64
	up      bool
	// lastToAgent and lastToOwner are when the last message in each direction arrives.
	lastToAgent, lastToOwner time.Duration
	// redialAt is when the owner connects again after the link has ended.
	redialAt time.Duration
}

func newOwner(w *world, name string, epoch int64) *ownerModel {
	o := &ownerModel{w: w, name: name, fleet: owner.NewFleet(1, acceptAllParams(), w.rand.Uint64()), links: make(map[*agentModel]*link), drains: drainView{tracker: &drains.Tracker{}}}
	var mayRun []string
	if w.mutant != formerAgentsNotRead {
		mayRun = slices.Clone(w.store.agents)
	}
	o.shard = owner.New(w.now, 0, epoch, w.ownerBounds(), o.fleet, w.records(), mayRun, maps.Clone(w.store.incarnations))
	o.assigned.Joined(w.generation, modelShards)
	o.joinedAt = w.now
	return o
}

// unknownRebalance is how long an owner may count as confirmed after the group has assigned its shard
// to another one: it learns of a rebalance with its next join.
const unknownRebalance = 300 * time.Millisecond

// confirmed reports whether the owner believes that the group has assigned the shard to it.
func (o *ownerModel) confirmed() bool { return !o.unconfirmed || o.w.mutant == claimsUnconfirmed }

func (o *ownerModel) open() {
	o.w.trace("- %s opens the shard with epoch %d, agents %v", o.name, o.shard.Epoch, o.w.store.agents)
	o.pollDrains()
	o.tick()
	o.join()
}

const (
	// membershipTTL is how long after its last join an owner counts as confirmed.
	membershipTTL = 1200 * time.Millisecond
	joinInterval  = 250 * time.Millisecond
)

// join joins the group at intervals. An owner that can't is unconfirmed after membershipTTL.
func (o *ownerModel) join() {
	o.run(func() {
		switch {
		case o.replaced || o.shard.Closed():
		case o.storeRejects():
			o.unconfirmed = o.unconfirmed || o.w.now-o.joinedAt >= membershipTTL
		case o.unconfirmed:
			o.rejoin()
		default:
			o.joinedAt = o.w.now
			o.claimPending()
		}
	})
	if !o.killed() {
		o.w.after(joinInterval, o.join)
	}
}

// claimPending claims the shard on the links on which that had to wait.
func (o *ownerModel) claimPending() {
	if !o.claimsPending {
		return
	}
	if o.shard.Unverified() {
		o.shard.VerifyNow(o.w.now)
		o.write()
		return
	}
	o.claimsPending = false
	for _, a := range o.w.agents {
		if l := o.links[a]; l != nil && l.up {
			l.claim()
		}
	}
}

// killed reports whether the process was killed.
func (o *ownerModel) killed() bool { return o.dead }

// run calls do, after the process has thawed if it is frozen. It does nothing if the process was
// killed.
func (o *ownerModel) run(do func()) {
	if o.killed() {
		return
	}
	if frozenFor := o.frozenUntil - o.w.now; frozenFor > 0 {
		o.w.after(frozenFor, func() { o.run(do) })
		return
	}
	do()
}

func (o *ownerModel) kill() {
	o.dead = true
	for _, a := range o.w.agents {
		if l := o.links[a]; l != nil {
			l.down(o.w.randUpTo(50 * time.Millisecond))
		}
	}
}

func (o *ownerModel) freeze(d time.Duration) { o.frozenUntil = max(o.frozenUntil, o.w.now+d) }

// loseOwnership is called when another owner takes over. The process notices it within renewLimit,
// or when the store rejects a write of its epoch.
func (o *ownerModel) loseOwnership() {
	if o.replaced || o.dead {
		return
	}
	o.replaced = true
	o.tenure++
	tenure := o.tenure
	whileReplaced := func(do func()) func() {
		return func() {
			if o.replaced && o.tenure == tenure {
				do()
			}
		}
	}
	o.w.after(o.w.randUpTo(unknownRebalance), whileReplaced(func() { o.unconfirmed = true }))
	if o.w.mutant == noRenewLimit {
		return
	}
	giveUp := whileReplaced(o.giveUp)
	o.w.after(o.w.randUpTo(renewLimit), func() { o.run(giveUp) })
}

// giveUp releases the shard. The process ends, or goes on with the links that its other shards need. The
// links may be reset then, so that the releases are lost.
func (o *ownerModel) giveUp() {
	o.apply(o.shard.Close())
	if o.w.chance(0.5) {
		o.kill()
		return
	}
	reset := o.w.chance(0.5)
	for _, a := range o.w.agents {
		l := o.links[a]
		if l == nil || !l.up {
			continue
		}
		l.toAgent(func() { a.worker.Release(0, o.name) })
		if reset {
			o.cutLink(a, o.w.randUpTo(150*time.Millisecond))
		}
	}
}

// modelShards are the shards of a world.
var modelShards = []int{0}

// regain is called when the group assigns the shard to this owner again. The owner learns of that with its
// next join.
func (o *ownerModel) regain() {
	o.replaced = false
	o.run(o.rejoin)
}

func (o *ownerModel) rejoin() {
	o.unconfirmed, o.joinedAt = false, o.w.now
	interrupted := o.assigned.Joined(o.w.generation, modelShards)
	o.w.trace("- %s has its shard again, interrupted %v", o.name, interrupted)
	if len(interrupted) > 0 && !o.w.mutant.keepsShards() {
		o.shard.MarkUnverified(o.w.now)
	}
	o.claimPending()
}

// reopen opens the shard anew if the store has refused this owner, although the group assigns the shard to
// it.
func (o *ownerModel) reopen() {
	if o.shard.Closed() && !o.replaced && !o.reopening && o.w.newestOwner() == o {
		o.reopening = true
		o.w.takeOver()
	}
}

// storeRejects reports whether the store rejects the writes of this owner.
func (o *ownerModel) storeRejects() bool {
	return o.w.now < max(o.w.store.rejectsUntil, o.turnedAwayUntil)
}

func (o *ownerModel) tick() {
	o.run(func() {
		o.shard.SetOwnershipConfirmed(!o.unconfirmed || o.w.mutant == lostLinksUnconfirmed)
		o.apply(o.shard.Tick(o.w.now))
		if o.rejected && !o.storeRejects() {
			o.rejected = false
			o.apply(o.shard.Written(o.w.now, owner.Batch{}))
		}
		for _, a := range o.w.agents {
			if l := o.links[a]; l != nil && l.up {
				deliverDrains := l.drainsMessage()
				l.toAgent(func() {
					deliverDrains()
					l.heartbeat()
				})
			} else if l == nil || o.w.now >= l.redialAt {
				o.dial(a)
			}
		}
		o.write()
		o.reopen()
	})
	if !o.killed() {
		o.w.after(50*time.Millisecond, o.tick)
	}
}

func (o *ownerModel) dial(a *agentModel) {
	o.run(func() {
		if !a.ready(o) {
			return
		}
		o.w.session++
		l := &link{owner: o, agent: a, session: o.w.session, up: true}
		o.links[a] = l
		o.fleet.Linked(a.name)
		held := make(map[int]int64)
		if !o.shard.Closed() {
			held[0] = o.shard.Epoch
		}
		if o.w.mutant != sessionsNotStarted {
			l.toAgent(func() { a.worker.SessionStarted(o.name, l.session, held) })
		}
		if o.mayClaim() {
			l.claim()
			return
		}
		o.claimsPending = true
		if o.w.mutant != unclaimedLinksUnknown {
			o.shard.LinkedUnclaimed(a.name, l.session)
		}
	})
}

func (o *ownerModel) mayClaim() bool {
	return o.confirmed() && !o.shard.Closed() && !o.shard.Unverified()
}

// claim claims the shard on a link, unless that was done.
func (l *link) claim() {
	o := l.owner
	claim, ok, fx := o.shard.Linked(o.w.now, l.agent.name, l.session)
	if !ok || o.shard.Closed() {
		return
	}
	claim.Owner = o.name
	o.apply(fx)
	l.toAgent(func() { l.agent.claim(l, claim) })
}

// cutLink ends the link to an agent and drops the messages in transit. The owner connects again
// after the given time.
func (o *ownerModel) cutLink(a *agentModel, redialDelay time.Duration) {
	l := o.links[a]
	if l == nil {
		return
	}
	l.redialAt = o.w.now + redialDelay
	l.down(o.w.randUpTo(min(redialDelay, 700*time.Millisecond)))
}

// down ends a link. The owner notices it after the given time. The agent notices it after a random
// time or never.
func (l *link) down(noticeDelay time.Duration) {
	if !l.up {
		return
	}
	w := l.owner.w
	l.up = false
	w.after(noticeDelay, func() {
		l.owner.run(func() {
			l.owner.fleet.LinkLost(l.agent.name)
			l.owner.shard.LinkLost(w.now, l.agent.name, l.session)
		})
	})
	if w.chance(0.7) {
		w.after(w.randUpTo(700*time.Millisecond), func() {
			l.agent.run(func() { l.agent.worker.LinkLost(w.now, l.owner.name) })
		})
	}
}

func (l *link) toAgent(do func()) {
	w := l.owner.w
	l.lastToAgent = max(l.lastToAgent, w.now+w.randUpTo(3*time.Millisecond))
	incarnation := l.agent.incarnation
	w.after(l.lastToAgent-w.now, func() {
		l.agent.run(func() {
			if l.up && l.agent.incarnation == incarnation {
				do()
			}
		})
	})
}

func (l *link) toOwner(do func()) {
	w := l.owner.w
	l.lastToOwner = max(l.lastToOwner, w.now+w.randUpTo(3*time.Millisecond))
	w.after(l.lastToOwner-w.now, func() {
		l.owner.run(func() {
			if l.up {
				do()
			}
		})
	})
}

// heartbeat delivers a heartbeat to the agent, which ends the link if the owner was silent for too
// long.
func (l *link) heartbeat() {
	if !l.agent.worker.Heard(l.owner.w.now, l.owner.name) {
		l.owner.cutLink(l.agent, 50*time.Millisecond)
	}
}

func (o *ownerModel) apply(fx owner.Effects) {
	for _, node := range fx.Reconnects {
		for _, a := range o.w.agents {
			if a.name == node {
				o.cutLink(a, 50*time.Millisecond)
			}
		}
	}
	for _, p := range fx.Orders {
		order := p.Value
		o.send(p.Node, func(l *link) func() {
			deliverDrains := l.drainsMessage()
			return func() {
				deliverDrains()
				l.agent.order(l, order)
			}
		})
	}
	for _, p := range fx.Stops {
		run := p.Value
		o.send(p.Node, func(l *link) func() { return func() { l.agent.stop(o.shard.Epoch, run) } })
	}
	for _, p := range fx.Settled {
		s := p.Value
		o.send(p.Node, func(l *link) func() { return func() { l.agent.settled(s) } })
	}
	for _, r := range fx.Replies {
		r.To(r.Response)
	}
	if fx.Write {
		o.write()
	}
}

// send sends a message over all links to an agent. The message is made now, with the owner's
// present state, and delivered later.
func (o *ownerModel) send(node string, newMessage func(*link) func()) {
	for a, l := range o.links {
		if a.name == node && l.up {
			l.toAgent(newMessage(l))
		}
	}
}

// write sends the records that are due to the store, one batch at a time.
func (o *ownerModel) write() {
	if o.writing || o.shard.Closed() || !o.shard.WriteDue(o.w.now) {
		return
	}
	b := o.shard.NextBatch(o.w.now)
	if b.Empty() {
		return
	}
	o.writing = true
	o.append(b, false)
}

// append writes a batch to the store and repeats the call until its outcome is known. unknown is
// set if an earlier call may have been carried out.
func (o *ownerModel) append(b owner.Batch, unknown bool) {
	w := o.w
	w.after(w.randUpTo(8*time.Millisecond), func() {
		if o.killed() {
			return
		}
		switch {
		case w.store.epoch > o.shard.Epoch && w.mutant != noStoreFence:
			o.run(func() { o.apply(o.shard.Close()) })
			return
		case o.storeRejects():
			if unknown {
				w.after(100*time.Millisecond, func() { o.append(b, true) })
				return
			}
			o.rejected = true
			o.finish(func() owner.Effects { return o.shard.Rejected(w.now, b, "store") })
			return
		}
		w.trace("%s store writes %s", o.name, describeBatch(b))
		w.store.apply(b, w.mutant)
		if w.chance(0.05) {
			// The response is lost. The repeated call gets the same one.
			w.after(60*time.Millisecond, func() { o.append(b, true) })
			return
		}
		o.finish(func() owner.Effects { return o.shard.Written(w.now, b) })
	})
}

func (o *ownerModel) finish(f func() owner.Effects) {
	o.run(func() {
		o.writing = false
		o.apply(f())
		o.write()
	})
}

func (s *storeModel) apply(b owner.Batch, m mutant) {
	for i := range b.Writes {
		write := &b.Writes[i]
		if write.Record == nil {
			delete(s.records, write.ID)
			continue
		}
		record := *write.Record
		if m == restartsNotRecorded && !record.State.Final() {
			record.Repeated = slices.DeleteFunc(slices.Clone(record.Repeated), func(r job.RunID) bool { return !record.Task(r.Task).Done })
		}
		if m == failedRunsNotWritten {
			record.Tasks = slices.Clone(record.Tasks)
			for i := range record.Tasks {
				record.Tasks[i].FailedRuns = nil
			}
		}
		raw, err := wire.EncodeRecord(&record)
		if err != nil {
			panic(err)
		}
		s.records[write.ID] = raw
	}
	if b.Agents != nil && m != agentsNotWritten {
		s.agents = slices.Clone(b.Agents)
	}
	if b.Incarnations != nil && m != incarnationsNotWritten {
		s.incarnations = maps.Clone(b.Incarnations)
	}
}

func (o *ownerModel) event(a *agentModel, e worker.Event) {
	o.apply(o.shard.Event(o.w.now, a.name, e))
}

func (o *ownerModel) load(a *agentModel, l worker.Load) {
	o.fleet.Update(o.w.now, a.name, owner.AgentLoad{
		Service: l.Server.Service, Capacity: l.Server.Capacity, Free: l.Free, Backlog: l.Backlog,
		Turnover: l.Turnover, Accepts: l.Accepts, Domain: a.name, Drained: l.Drained, OrdersSeen: 1 << 40,
	})
}

func describeBatch(b owner.Batch) string {
	out := fmt.Sprint("agents ", b.Agents)
	for _, w := range b.Writes {
		if w.Record != nil {
			out += fmt.Sprintf(" %s %v %v", w.ID, w.Record.State, w.Record.Tasks)
		}
	}
	return out
}

func runOf(task job.TaskID, number int64) job.RunID { return job.RunID{Task: task, Number: number} }
