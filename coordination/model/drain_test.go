package model

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
)

const (
	// drainBound is how long after a drain an agent in touch may still start something.
	maxDrainDelay = 3 * time.Second
	// drainsStale is the age of what an agent was told from which on it looks into the store.
	staleDrainsAge = 2 * time.Second
	// drainRead is how long a reader of the store takes to hear of a record.
	drainReadDelay = 20 * time.Millisecond
)

// drainLog is what operators have written of drains. Each agent is in a failure domain of
// its own, with its name.
type drainLog struct {
	changes []drains.Change
	// since is when each domain was drained; those that are not are absent.
	since map[string]time.Duration
}

// drain has operators drain an agent's domain, and take it back after a while.
func (w *world) drain(a *agentModel) {
	if _, is := w.drains.since[a.name]; is {
		return
	}
	w.trace("- %s is drained", a.name)
	w.drains.since[a.name] = w.now
	w.drains.changes = append(w.drains.changes, drains.Change{Domain: a.name, Drained: true})
	w.after(w.randUpTo(9*time.Second), func() {
		w.trace("- %s is taken back", a.name)
		delete(w.drains.since, a.name)
		w.drains.changes = append(w.drains.changes, drains.Change{Domain: a.name})
	})
}

// drainView is what a process knows of drains.
type drainView struct {
	tracker *drains.Tracker
	// blind is the time until which the process does not reach the store.
	storeLostUntil time.Duration
}

// read takes in all that operators have written, as of a time.
func (v *drainView) read(w *world, now time.Duration) bool {
	r := drains.NewReplayer(v.tracker)
	r.Reset()
	for _, c := range w.drains.changes {
		r.Apply(c)
	}
	return r.Publish(now, int64(len(w.drains.changes))+1)
}

// followDrains has an owner read the store while it reaches it.
func (o *ownerModel) pollDrains() {
	o.run(func() {
		if now := o.w.now; now >= o.drains.storeLostUntil && o.drains.read(o.w, now) {
			o.fleet.SetDrained(o.drains.tracker.State())
		}
	})
	if !o.killed() {
		o.w.after(drainReadDelay, o.pollDrains)
	}
}

// tellDrains has a frame of the owner tell what it knows.
func (l *link) drainsMessage() func() {
	state, age := l.owner.drains.tracker.Latest(l.owner.w.now)
	sent := l.owner.w.now
	if l.owner.w.mutant == olderDrainsAccepted {
		// Its own words are taken for the newest.
		state.Position = int64(l.owner.w.now)
	}
	return func() { l.agent.receiveDrains(state, age+l.agent.w.now-sent) }
}

func (a *agentModel) receiveDrains(s drains.State, age time.Duration) {
	if a.drains.tracker.Update(a.w.now, s, age) {
		a.applyDrains()
	}
}

func (a *agentModel) applyDrains() {
	if a.w.mutant == drainsIgnored {
		return
	}
	a.apply(a.worker.DrainDomain(a.w.now, a.drains.tracker.State().Has(a.name)))
}

// lookForDrains has an agent whose callers have not heard from the store look itself.
func (a *agentModel) readDrainsIfStale() {
	_, age := a.drains.tracker.Latest(a.w.now)
	if age < staleDrainsAge || a.w.mutant == drainsNotRead {
		return
	}
	incarnation := a.incarnation
	a.w.after(drainReadDelay, func() {
		a.run(func() {
			if a.incarnation == incarnation && a.drains.read(a.w, a.w.now) {
				a.applyDrains()
			}
		})
	})
}

// checkDrains holds a start that an agent sends against the drains in force.
func (a *agentModel) checkDrains() {
	since, drained := a.w.drains.since[a.name]
	undisturbed := a.stable() && a.w.now-a.frozenUntil >= stableAfter
	if drained && undisturbed && a.w.now-since > maxDrainDelay {
		a.w.addViolation(a.name, "%s starts something %v after its domain was drained", a.name, a.w.now-since)
	}
}
