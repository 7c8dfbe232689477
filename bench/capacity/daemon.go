package main

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/guard"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/coordination/node"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// driven is what the harness does with a node, agent or entry.
type driven interface {
	Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action
	Record(now time.Time, stream coordination.Stream, offset int64, data []byte) []coordination.Action
	ReadThrough(now time.Time, stream coordination.Stream, offset int64, began time.Time) []coordination.Action
	Tick(now time.Time) []coordination.Action
}

// daemon is one node with its virtual clock and its place in the streams.
type daemon struct {
	driven
	agent   *node.Agent // nil for an entry
	entry   *node.Entry // nil for an agent
	self    state.Member
	now     time.Time
	offsets map[coordination.Stream]int64
	bases   [operators]state.Version
}

// newAgent returns the agent that joins first. So it is in each of its pairs
// from the start and has no claims to pull.
func newAgent() *daemon { return newAgentKeeping(0) }

// newAgentKeeping returns one that keeps claims for a time; zero stands for the
// default.
func newAgentKeeping(claims time.Duration) *daemon {
	self := newMember(0)
	a := node.NewAgent(node.AgentOptions{Self: self, Seed: 1, Guard: guard.Options{Retention: claims}})
	return &daemon{driven: a, agent: a, self: self, now: start, offsets: make(map[coordination.Stream]int64)}
}

func newEntry() *daemon {
	self := state.Member{ID: "entry-0001@dc86aohksdufec1987q0", Region: regionName(0), Domain: "domain-0"}
	e := node.NewEntry(node.EntryOptions{Self: self, Seed: 1})
	return &daemon{driven: e, entry: e, self: self, now: start, offsets: make(map[coordination.Stream]int64)}
}

// fullAgent returns an agent that knows the whole fleet, all declarations and
// the loads of its region.
func fullAgent() *daemon {
	d := newAgent()
	d.join(members())
	d.declareAll()
	d.hear(d.regionMembers(), 1)
	return d
}

func (d *daemon) record(stream coordination.Stream, data []byte) {
	d.offsets[stream]++
	d.Record(d.now, stream, d.offsets[stream], data)
}

// caughtUp tells that both streams were read to their ends.
func (d *daemon) caughtUp() {
	for _, s := range []coordination.Stream{coordination.StreamRoster, coordination.StreamDeclarations} {
		d.ReadThrough(d.now, s, d.offsets[s], d.now)
	}
}

func (d *daemon) join(list []state.Member) {
	for _, m := range list {
		d.record(coordination.StreamRoster, encode(roster.Join{Member: m}))
	}
	d.caughtUp()
}

// declare reads a change of one operator.
func (d *daemon) declare(operator, change int) {
	data := applyRecord(operator, change, d.bases[operator])
	d.record(coordination.StreamDeclarations, data)
	d.bases[operator] = state.Version(d.offsets[coordination.StreamDeclarations])
}

func (d *daemon) declareAll() {
	for i := range operators {
		d.declare(i, 0)
	}
	d.caughtUp()
}

func (d *daemon) hear(list []state.Member, seq uint64) {
	for _, m := range news(list, seq) {
		d.Handle(d.now, list[0].ID, m)
	}
}

func (d *daemon) regionMembers() []state.Member {
	var out []state.Member
	for _, m := range members() {
		if m.Region == d.self.Region && m.ID != d.self.ID {
			out = append(out, m)
		}
	}
	return out
}

// pass lets virtual time go on in ticks.
func (d *daemon) pass(span, tick time.Duration, do func(coordination.Action)) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(tick)
		for _, act := range d.Tick(d.now) {
			do(act)
		}
	}
}
