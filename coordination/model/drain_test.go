package model

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
)

const (
	// maxDrainDelay is how long after a drain a stable agent may still start runs.
	maxDrainDelay = 3 * time.Second
	// staleDrainsAge is the age of an agent's drain state from which on the agent reads the store.
	staleDrainsAge = 2 * time.Second
	// drainReadDelay is how long a process takes to read drains from the store.
	drainReadDelay = 20 * time.Millisecond
)

// drainLog has the drain records that operators have written. Each agent is in a failure domain of
// its own, which has the agent's name.
type drainLog struct {
	changes []drains.Change
	// since has the time at which each drained domain was drained.
	since map[string]time.Duration
}

// drain drains an agent's domain, unless it is drained already, and ends the drain after up to 9 s.
func (w *world) drain(a *agentModel) {
	if _, drained := w.drains.since[a.name]; drained {
		return
	}
	w.trace("- domain %s is drained", a.name)
	w.drains.since[a.name] = w.now
	w.drains.changes = append(w.drains.changes, drains.Change{Domain: a.name, Drained: true})
	w.after(w.randUpTo(9*time.Second), func() {
		w.trace("- the drain of domain %s has ended", a.name)
		delete(w.drains.since, a.name)
		w.drains.changes = append(w.drains.changes, drains.Change{Domain: a.name})
	})
}

// drainView is a process's knowledge of the drains in force.
type drainView struct {
	tracker *drains.Tracker
	// storeLostUntil is the time until which the process can't reach the store.
	storeLostUntil time.Duration
}

// read applies all drain records as of now. It reports whether the set of drained domains changed.
func (v *drainView) read(w *world, now time.Duration) bool {
	r := drains.NewReplayer(v.tracker)
	r.Reset()
	for _, c := range w.drains.changes {
		r.Apply(c)
	}
	return r.Publish(now, int64(len(w.drains.changes))+1)
}

// pollDrains reads the drains from the store every drainReadDelay while the owner can reach it.
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

// drainsMessage returns a function that delivers the owner's present drain state to the agent.
func (l *link) drainsMessage() func() {
	state, age := l.owner.drains.tracker.Latest(l.owner.w.now)
	sent := l.owner.w.now
	if l.owner.w.mutant == olderDrainsAccepted {
		// With this position the state always counts as the newest.
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

// readDrainsIfStale reads the drains from the store if the agent's state is stale because its
// owners can't reach the store.
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

// checkDrains checks that the agent's domain is not drained when the agent sends a start call.
func (a *agentModel) checkDrains() {
	since, drained := a.w.drains.since[a.name]
	undisturbed := a.stable() && a.w.now-a.frozenUntil >= stableAfter
	if drained && undisturbed && a.w.now-since > maxDrainDelay {
		a.w.addViolation(a.name, "%s sends a start call %v after its domain was drained", a.name, a.w.now-since)
	}
}
