package main

import (
	"fmt"
	"runtime"

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
		gone := state.NodeID(fmt.Sprintf("agent-%04d@d4t8ln2vq0ck5e9f", agents+i))
		d.record(coordination.StreamRoster, encode(roster.Evict{NodeID: gone, By: newMember(1).ID}))
		d.caughtUp()
	})
}
