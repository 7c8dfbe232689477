package model

import (
	"fmt"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/worker"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/state/job"
)

// ownerModel drives one owner's machine.
type ownerModel struct {
	w      *world
	name   string
	shard  *owner.Shard
	fleet  *owner.Fleet
	links  map[*agentModel]*link
	dead   bool
	thaw   time.Duration
	stale  bool
	drains drainView
	// cut says that the group has dropped it and can't be asked.
	cut    bool
	writes bool
	// rejected is set while the store has not taken a write since it rejected one.
	rejected bool
}

// link carries messages between an owner and an agent, in order each way.
type link struct {
	owner   *ownerModel
	agent   *agentModel
	session int64
	up      bool
	// there and back are when the last message each way arrives.
	there, back time.Duration
	// again is when the owner dials anew after the link has ended.
	again time.Duration
}

func newOwner(w *world, name string, epoch int64) *ownerModel {
	o := &ownerModel{w: w, name: name, fleet: owner.NewFleet(1, anyLoad()), links: make(map[*agentModel]*link), drains: drainView{book: &drains.Tracker{}}}
	var mayRun []string
	if w.m != agentsNotNamed {
		mayRun = slices.Clone(w.store.agents)
	}
	o.shard = owner.New(w.now, 0, epoch, w.ownerBounds(), o.fleet, w.records(), mayRun)
	return o
}

// confirmed reports whether the group has dealt the shard to this owner as far as
// it can know: the confirmation ends before another owner can have been given it.
func (o *ownerModel) confirmed() bool { return !o.cut || o.w.m == claimsUnconfirmed }

func (o *ownerModel) open() {
	o.w.trace("- %s opens with epoch %d, agents %v", o.name, o.shard.Epoch, o.w.store.agents)
	o.followDrains()
	o.tick()
}

// gone says that the process is killed.
func (o *ownerModel) gone() bool { return o.dead }

// run has something done once the process runs: it may be frozen.
func (o *ownerModel) run(do func()) {
	if o.gone() {
		return
	}
	if wait := o.thaw - o.w.now; wait > 0 {
		o.w.after(wait, func() { o.run(do) })
		return
	}
	do()
}

func (o *ownerModel) kill() {
	o.dead = true
	for _, l := range o.links {
		l.down(o.w.upTo(50 * time.Millisecond))
	}
}

func (o *ownerModel) freeze(d time.Duration) { o.thaw = max(o.thaw, o.w.now+d) }

// dropped is called when another owner takes over. The process notices within
// its limit on renewing without the group, or by the store.
func (o *ownerModel) dropped() {
	if o.stale || o.dead {
		return
	}
	o.stale, o.cut = true, true
	if o.w.m == noRenewLimit {
		return
	}
	o.w.after(o.w.upTo(renewLimit), func() {
		o.run(func() { o.apply(o.shard.Close()); o.kill() })
	})
}

func (o *ownerModel) tick() {
	o.run(func() {
		o.shard.SetOwnershipConfirmed(!o.cut || o.w.m == waitsUnconfirmed)
		o.apply(o.shard.Tick(o.w.now))
		if o.rejected && o.w.now >= o.w.store.bad {
			o.rejected = false
			o.apply(o.shard.Written(o.w.now, owner.Batch{}))
		}
		for _, a := range o.w.agents {
			if l := o.links[a]; l != nil && l.up {
				tell := l.tellDrains()
				l.toAgent(func() {
					tell()
					l.heard()
				})
			} else if l == nil || o.w.now >= l.again {
				o.dial(a)
			}
		}
		o.write()
	})
	if !o.gone() {
		o.w.after(50*time.Millisecond, o.tick)
	}
}

func (o *ownerModel) dial(a *agentModel) {
	o.run(func() {
		if o.shard.Closed() || !a.ready(o) || !o.confirmed() {
			return
		}
		o.w.session++
		l := &link{owner: o, agent: a, session: o.w.session, up: true}
		o.links[a] = l
		o.fleet.Linked(a.name)
		claim, _, fx := o.shard.Linked(o.w.now, a.name, l.session)
		claim.Owner = o.name
		o.apply(fx)
		l.toAgent(func() { a.claim(l, claim) })
	})
}

// cutLink drops what is on its way and ends the link; it is dialled anew later.
func (o *ownerModel) cutLink(a *agentModel, away time.Duration) {
	l := o.links[a]
	if l == nil {
		return
	}
	l.again = o.w.now + away
	l.down(o.w.upTo(min(away, 700*time.Millisecond)))
}

// down ends a link. The owner notices after a while, and the agent after a
// while of its own or never.
func (l *link) down(notice time.Duration) {
	if !l.up {
		return
	}
	w := l.owner.w
	l.up = false
	w.after(notice, func() {
		l.owner.run(func() {
			l.owner.fleet.LinkLost(l.agent.name)
			l.owner.shard.LinkLost(w.now, l.agent.name, l.session)
		})
	})
	if w.chance(0.7) {
		w.after(w.upTo(700*time.Millisecond), func() {
			l.agent.run(func() { l.agent.worker.LinkLost(w.now, l.owner.name) })
		})
	}
}

func (l *link) toAgent(do func()) {
	w := l.owner.w
	l.there = max(l.there, w.now+w.upTo(3*time.Millisecond))
	life := l.agent.life
	w.after(l.there-w.now, func() {
		l.agent.run(func() {
			if l.up && l.agent.life == life {
				do()
			}
		})
	})
}

func (l *link) toOwner(do func()) {
	w := l.owner.w
	l.back = max(l.back, w.now+w.upTo(3*time.Millisecond))
	w.after(l.back-w.now, func() {
		l.owner.run(func() {
			if l.up {
				do()
			}
		})
	})
}

// heard is a sign of life at the agent, which ends the link of an owner that was
// silent for too long.
func (l *link) heard() {
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
			tell := l.tellDrains()
			return func() {
				tell()
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

// send has something done at an agent. What is told of the owner is as of now.
func (o *ownerModel) send(node string, make func(*link) func()) {
	for a, l := range o.links {
		if a.name == node && l.up {
			l.toAgent(make(l))
		}
	}
}

// write has the store take what is due, one call at a time.
func (o *ownerModel) write() {
	if o.writes || o.shard.Closed() || !o.shard.WriteDue(o.w.now) {
		return
	}
	b := o.shard.NextBatch(o.w.now)
	if b.Empty() {
		return
	}
	o.writes = true
	o.append(b, false)
}

// append repeats a call until its fate is known.
func (o *ownerModel) append(b owner.Batch, unknown bool) {
	w := o.w
	w.after(w.upTo(8*time.Millisecond), func() {
		if o.gone() {
			return
		}
		switch {
		case w.store.epoch > o.shard.Epoch && w.m != noStoreFence:
			o.run(func() { o.apply(o.shard.Close()) })
			return
		case w.now < w.store.bad:
			if unknown {
				w.after(100*time.Millisecond, func() { o.append(b, true) })
				return
			}
			o.rejected = true
			o.finish(func() owner.Effects { return o.shard.Rejected(w.now, b, "store") })
			return
		}
		w.trace("%s store takes %s", o.name, describe(b))
		w.store.take(b, w.m)
		if w.chance(0.05) {
			// The answer is lost; the repeat is answered as the first.
			w.after(60*time.Millisecond, func() { o.append(b, true) })
			return
		}
		o.finish(func() owner.Effects { return o.shard.Written(w.now, b) })
	})
}

func (o *ownerModel) finish(f func() owner.Effects) {
	o.run(func() {
		o.writes = false
		o.apply(f())
		o.write()
	})
}

func (s *storeModel) take(b owner.Batch, m mutant) {
	for i := range b.Writes {
		write := &b.Writes[i]
		if write.Record == nil {
			delete(s.records, write.ID)
			continue
		}
		raw, err := wire.EncodeRecord(write.Record)
		if err != nil {
			panic(err)
		}
		s.records[write.ID] = raw
	}
	if b.Agents != nil && m != agentsNotWritten {
		s.agents = slices.Clone(b.Agents)
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

func describe(b owner.Batch) string {
	out := fmt.Sprint("agents ", b.Agents)
	for _, w := range b.Writes {
		if w.Record != nil {
			out += fmt.Sprintf(" %s %v %v", w.ID, w.Record.State, w.Record.Tasks)
		}
	}
	return out
}

func runOf(task job.TaskID, number int64) job.RunID { return job.RunID{Task: task, Number: number} }
