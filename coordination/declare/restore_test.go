package declare

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// blindFleet is a fleet in which no node has a complete view: the log forgot
// every operator's last refresh, and all nodes were replaced. They know the
// declarations from the nodes before them.
func blindFleet(nodes, operators int, off safeguards) *fleet {
	f := newFleet(nodes, operators, off)
	f.log.first = f.log.end()
	f.log.records, f.at = nil, nil
	for i, old := range f.nodes {
		f.nodes[i] = newNode(fmt.Sprintf("young%d", i), nil)
		f.nodes[i].disabled = off
		f.nodes[i].inherit(f.now, old)
	}
	f.tick()
	return f
}

// inherit has a node take what another has in force.
func (n *node) inherit(now time.Time, old *node) {
	old.take(old.Handle(now, n.opts.Self, message.DeclarationAsk{}))
	for _, reply := range old.sent {
		n.take(n.Handle(now, old.opts.Self, reply.Msg))
	}
	old.sent = nil
}

// tick lets a second pass for all nodes but those that sleep, and then lets
// their appends in.
func (f *fleet) tick(asleep ...*node) {
	f.now = f.now.Add(step)
	count := 0
	for _, n := range f.nodes {
		if !contains(asleep, n) {
			n.read(f.now, f.log)
			n.take(n.Tick(f.now))
		}
	}
	for _, n := range f.nodes {
		count += len(n.appends)
		n.flush(f.log)
	}
	f.refreshes += count
	f.most = max(f.most, count)
}

func contains(nodes []*node, n *node) bool {
	for _, other := range nodes {
		if other == n {
			return true
		}
	}
	return false
}

// ticks lets time pass.
func (f *fleet) ticks(d time.Duration, asleep ...*node) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.tick(asleep...)
	}
}

const restoreTicket = 1000

// apply has a node replace an operator's file, and reports whether that is in
// force on all nodes ten seconds later.
func (f *fleet) apply(i int, operator string, inFlight int) bool {
	cur, _ := f.nodes[i].set.Operator(operator)
	f.nodes[i].put(f.now, uint64(2000+inFlight), operator, cur.Version, file(operator, "service"+operator, inFlight))
	f.ticks(10 * time.Second)
	for _, n := range f.nodes {
		now, ok := n.set.Operator(operator)
		if !ok || now.File.Quota.TasksInFlight != inFlight {
			return false
		}
	}
	return true
}

// All nodes have lost the complete view, so no apply is accepted any more, not
// after an hour either. The person on call restores through one of them; within
// minutes all nodes have a complete view, nothing in force has changed, and
// applies are accepted.
func TestRestoreOpensTheHole(t *testing.T) {
	is := is.New(t)
	f := blindFleet(5, 4, safeguards{})
	before := f.nodes[0].set.Digest()
	f.ticks(time.Hour)
	is.True(!f.apply(1, "op1", 7))

	f.nodes[2].take(f.nodes[2].Restore(f.now, restoreTicket))
	f.ticks(2 * time.Minute)
	done := f.nodes[2].applied[restoreTicket]
	is.Equal(done.Outcome, state.Complete)
	f.ticks(restoredSpread)
	for _, n := range f.nodes {
		is.True(n.set.Complete())
		// The apply that nobody could judge is judged now: its caller was told that
		// it may be in the log.
		cur, _ := n.set.Operator("op1")
		is.Equal(cur.File.Quota.TasksInFlight, 7)
	}
	is.True(f.nodes[0].set.Digest() != before)
	is.True(f.apply(3, "op1", 8))
	is.True(f.apply(4, "op3", 9))
	f.nodes[2].take(f.nodes[2].Restore(f.now, restoreTicket+1))
	is.Equal(f.nodes[2].applied[restoreTicket+1].Reason, state.ReasonNothingToRestore)
}

// One node took over a version that no other living node has, and it reads the
// log 40 s late. A restore that didn't wait would take the older version for the
// truth, and the next apply against that would revert what was in force.
func TestRestoreWaitsForALateReader(t *testing.T) {
	each(t, safeguards{restoreWait: true}, func(off safeguards) bool {
		f := blindFleet(4, 2, off)
		late := f.nodes[3]
		late.take(late.Handle(f.now, "gone", message.DeclarationReply{Records: []message.DeclarationRecord{{
			Operator: "op0", Version: 4, ApplyID: "lost", File: file("op0", "serviceop0", 5),
		}}}))
		f.ticks(2 * time.Second) // offsets 3 and 4 are long gone from the log
		f.nodes[0].take(f.nodes[0].Restore(f.now, restoreTicket))
		f.ticks(40*time.Second, late)
		if f.nodes[1].set.Complete() {
			cur, _ := f.nodes[1].set.Operator("op0")
			f.nodes[1].put(f.now, 1, "op0", cur.Version, file("op0", "serviceop0", 6))
		}
		f.ticks(4 * time.Minute)
		cur, _ := f.nodes[1].set.Operator("op0")
		return cur.Version == 4 && f.nodes[0].applied[restoreTicket].Outcome == state.Complete
	})
}

// The same node stands still for 100 s, longer than a restore waits at least. It
// is a member, so it lives: the restore waits until it is known to have read the
// begin and had time to report. Without that an apply against the older version
// would get in before the node's report.
func TestRestoreWaitsForEveryMember(t *testing.T) {
	each(t, safeguards{restoreUnread: true}, func(off safeguards) bool {
		f := blindFleet(4, 2, off)
		late := f.nodes[3]
		late.take(late.Handle(f.now, "gone", message.DeclarationReply{Records: []message.DeclarationRecord{{
			Operator: "op0", Version: 4, ApplyID: "lost", File: file("op0", "serviceop0", 5),
		}}}))
		f.ticks(2 * time.Second)
		f.nodes[0].opts.Unread = f.unread
		f.nodes[0].take(f.nodes[0].Restore(f.now, restoreTicket))
		f.ticks(100*time.Second, late)
		if f.nodes[1].set.Complete() {
			cur, _ := f.nodes[1].set.Operator("op0")
			f.nodes[1].put(f.now, 1, "op0", cur.Version, file("op0", "serviceop0", 6))
		}
		f.ticks(4 * time.Minute)
		cur, _ := f.nodes[1].set.Operator("op0")
		return cur.Version == 4 && f.nodes[0].applied[restoreTicket].Outcome == state.Complete
	})
}

// unread names the nodes that have not read an offset.
func (f *fleet) unread(_ time.Time, offset int64) []state.NodeID {
	var ids []state.NodeID
	for _, n := range f.nodes {
		if n.set.Through() < offset {
			ids = append(ids, n.opts.Self)
		}
	}
	return ids
}

// A member never reads the begin. The person is told which, and that nothing was
// restored.
func TestRestoreNamesWhoDoesNotRead(t *testing.T) {
	is := is.New(t)
	f := blindFleet(4, 2, safeguards{})
	f.nodes[0].opts.Unread = f.unread
	f.nodes[0].take(f.nodes[0].Restore(f.now, restoreTicket))
	f.ticks(RestoreLimit+2*step, f.nodes[3])
	a := f.nodes[0].applied[restoreTicket]
	is.Equal(a.Reason, state.ReasonRestoreVoid)
	is.Equal(a.Outcome, state.NotRun)
	is.True(strings.Contains(a.Detail, "young3"))
	is.True(!f.nodes[1].set.Complete())
}

// A person restores though one node has a complete view and was merely slow. It
// objects with a refresh, so nothing is put together from reports, and it
// refreshes the rest, so that all have a complete view soon.
func TestCompleteNodeObjectsToARestore(t *testing.T) {
	each(t, safeguards{restoreObject: true}, func(off safeguards) bool {
		f := newFleet(4, 3, off)
		whole := f.nodes[3]
		f.log.first = f.log.end()
		f.log.records, f.at = nil, nil
		for i, old := range f.nodes[:3] {
			f.nodes[i] = newNode(fmt.Sprintf("young%d", i), nil)
			f.nodes[i].disabled = off
			f.nodes[i].inherit(f.now, old)
		}
		f.tick(whole)
		f.nodes[0].take(f.nodes[0].Restore(f.now, restoreTicket))
		f.ticks(20*time.Second, whole)
		f.ticks(restoreWait + restoredSpread)
		for _, n := range f.nodes {
			if !n.set.Complete() {
				return false
			}
		}
		return f.nodes[0].applied[restoreTicket].Reason == state.ReasonRestoreVoid
	})
}

// The node that restores knows none of the operators, and all others know them
// all. Each of them would report each operator at once; spread, the first ones
// do it for the rest.
func TestReportsDoNotStorm(t *testing.T) {
	const nodes, operators = 60, 10
	each(t, safeguards{restoreSpread: true}, func(off safeguards) bool {
		f := blindFleet(nodes, operators, off)
		f.nodes[0] = newNode("ignorant", nil)
		f.tick()
		f.refreshes, f.most = 0, 0
		f.nodes[0].take(f.nodes[0].Restore(f.now, restoreTicket))
		f.ticks(2 * time.Minute)
		t.Logf("without %+v: %d records, at most %d a second", off, f.refreshes, f.most)
		return f.nodes[0].applied[restoreTicket].Outcome == state.Complete && f.most < nodes/4
	})
}

// Two persons restore through two nodes. The first is told that another began;
// the second one's goes through.
func TestTwoRestoresAtOnce(t *testing.T) {
	is := is.New(t)
	f := blindFleet(4, 2, safeguards{})
	f.nodes[0].take(f.nodes[0].Restore(f.now, restoreTicket))
	f.nodes[0].take(f.nodes[0].Restore(f.now, restoreTicket+1))
	is.Equal(f.nodes[0].applied[restoreTicket+1].Reason, state.ReasonOverload)
	f.ticks(5 * time.Second)
	f.nodes[1].take(f.nodes[1].Restore(f.now, restoreTicket))
	f.ticks(3 * time.Minute)
	is.Equal(f.nodes[0].applied[restoreTicket].Outcome, state.NotRun)
	is.Equal(f.nodes[0].applied[restoreTicket].Reason, state.ReasonRestoreVoid)
	is.Equal(f.nodes[1].applied[restoreTicket].Outcome, state.Complete)
}

// The log refuses the begin, loses the reply to it, or loses the commit. The
// person hears "not run" only where nothing is in the log, and "unknown" where
// something may be.
func TestRestoreWithRepliesLost(t *testing.T) {
	is := is.New(t)
	f := blindFleet(2, 2, safeguards{})
	n := f.nodes[0]
	n.take(n.Restore(f.now, restoreTicket))
	n.take(n.AppendFailed(f.now, n.appends[0], FailureRefused))
	n.appends = nil
	is.Equal(n.applied[restoreTicket].Reason, state.ReasonLogUnavailable)

	n.take(n.Restore(f.now, restoreTicket+1)) // in, and the reply is lost
	n.take(n.AppendFailed(f.now, n.appends[0], FailureUnknown))
	f.ticks(2 * time.Minute)
	is.Equal(n.applied[restoreTicket+1].Outcome, state.Complete)

	f = blindFleet(2, 2, safeguards{})
	n = f.nodes[0]
	n.take(n.Restore(f.now, restoreTicket)) // lost on its way
	n.take(n.AppendFailed(f.now, n.appends[0], FailureUnknown))
	n.appends = nil
	f.ticks(RestoreLimit + step)
	is.Equal(n.applied[restoreTicket].Outcome, state.Unknown)
	is.Equal(n.applied[restoreTicket].Reason, state.ReasonApplyUnknown)

	n.take(n.ReadFailed(f.now))
	n.take(n.Restore(f.now, restoreTicket+1))
	is.Equal(n.applied[restoreTicket+1].Reason, state.ReasonLogUnavailable)
}
