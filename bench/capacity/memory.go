package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// measureAgent gives what an agent keeps of the fleet, and what a record of
// each kind costs it. The links and the process itself are not in it.
func measureAgent(t *table) {
	before := heap()
	d := newAgent()
	after := step(t, "machines without content", before)
	d.join(members())
	after = step(t, "roster of 990", after)
	d.declareAll()
	after = step(t, "declarations of 280 operators", after)
	d.hear(d.regionMembers(), 1)
	after = step(t, "loads of 494 agents", after)
	t.addCost("change of a declaration", changes(d))
	after = step(t, "history of 2,200 changes", after)
	t.addCost("join", joins(d))
	t.addCost("eviction", evictions(d))
	step(t, "40 joins and 40 evictions more", after)
	t.add("all of these", heap()-before, "B")
	runtime.KeepAlive(d)
	measureNewcomer(t)
	measureLossMemory(t)
}

// measureNewcomer gives what an agent keeps of the roster that starts from a
// snapshot, as all do but those of a fleet's first hours.
func measureNewcomer(t *table) {
	d := fullAgent()
	snapshot := encode(d.agent.Roster().Snapshot())
	last := d.agent.Roster().Offset()
	before := heap()
	n := newAgent()
	n.offsets[coordination.StreamRoster] = last
	n.record(coordination.StreamRoster, snapshot)
	n.caughtUp()
	if len(n.agent.Roster().Members()) != agents {
		panic("the snapshot was not taken")
	}
	step(t, "machines and a roster of 990 from a snapshot", before)
	runtime.KeepAlive(d)
	runtime.KeepAlive(n)
}

// longAfter is longer than claims are kept and an agent may be blind together,
// by their defaults in settings and in code.
const longAfter = 48 * time.Hour

// measureLossMemory gives what the loss of a failure domain adds.
func measureLossMemory(t *table) {
	d := newAgent()
	d.join(members())
	before := heap()
	for _, m := range members() {
		if m.Region == d.self.Region && m.Domain != d.self.Domain {
			d.record(coordination.StreamRoster, encode(roster.Evict{NodeID: m.ID, By: d.self.ID}))
		}
	}
	d.caughtUp()
	step(t, "evictions of a failure domain", before)
	for end := d.now.Add(longAfter); d.now.Before(end); {
		d.pass(time.Minute, time.Minute, func(coordination.Action) {})
		d.caughtUp()
	}
	step(t, "of them still there 48 h later", before)
	runtime.KeepAlive(d)
}

// measureEntry does the same for an entry, which hears of both regions.
func measureEntry(t *table) {
	before := heap()
	d := newEntry()
	after := step(t, "machines without content", before)
	d.join(members())
	after = step(t, "roster of 990", after)
	d.declareAll()
	after = step(t, "declarations of 280 operators", after)
	d.hear(members(), 1)
	after = step(t, "loads of 990 agents", after)
	t.addCost("change of a declaration", changes(d))
	step(t, "history of 2,200 changes", after)
	t.addCost("join", joins(d))
	t.addCost("eviction", evictions(d))
	t.add("all of these", heap()-before, "B")
	runtime.KeepAlive(d)
}

func step(t *table, what string, before float64) float64 {
	after := heap()
	t.add(what, after-before, "B")
	return after
}

// changes reads a day's changes of declarations.
func changes(d *daemon) cost {
	return measure(changesPerDay, func(i int) { d.declare(i%operators, 1+i) })
}

// few is how many records are read to measure one.
const few = 40

func joins(d *daemon) cost {
	return measure(few, func(i int) { d.join([]state.Member{newMember(agents + i)}) })
}

// evictions evicts the newcomers of joins, so that the fleet is as before.
func evictions(d *daemon) cost {
	return measure(few, func(i int) {
		gone := state.NodeID(fmt.Sprintf("agent-%04d@dc86aohksdufec1987q0", agents+i))
		d.record(coordination.StreamRoster, encode(roster.Evict{NodeID: gone, By: newMember(1).ID}))
		d.caughtUp()
	})
}
