package declare

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

// each runs a story as it is, where it must hold, and without one safeguard,
// where it must not.
func each(t *testing.T, without safeguards, story func(off safeguards) bool) {
	t.Helper()
	if !story(safeguards{}) {
		t.Error("the story doesn't hold")
	}
	if without != (safeguards{}) && story(without) {
		t.Errorf("the story holds without the safeguard %+v too", without)
	}
}

// declared returns a log with one accepted declaration and nodes that read it.
func declared(off safeguards, ids ...string) (*fakeLog, []*node) {
	l := &fakeLog{first: 1}
	var nodes []*node
	for _, id := range ids {
		n := newNode(id, nil)
		n.disabled = off
		nodes = append(nodes, n)
	}
	nodes[0].put(t0, 1, "gridlog", 0, file("gridlog", "yard-logbook", 1))
	nodes[0].flush(l)
	for _, n := range nodes {
		n.read(t0, l)
	}
	return l, nodes
}

// Two clerks of Gridlog change the file at the same time through two nodes,
// both against version 1. Both records are in; the log's order picks the winner
// on every node, and the other clerk hears which version stands.
func TestRaceHasOneWinnerEverywhere(t *testing.T) {
	is := is.New(t)
	l, n := declared(safeguards{}, "a", "b", "c")
	n[0].put(t0, 2, "gridlog", 1, file("gridlog", "yard-logbook", 2))
	n[1].put(t0, 3, "gridlog", 1, file("gridlog", "yard-logbook", 3))
	n[1].flush(l)
	n[0].flush(l)
	for _, node := range n {
		node.read(t0, l)
		cur, _ := node.set.Operator("gridlog")
		is.Equal(cur.Version, state.Version(2))
		is.Equal(cur.File.Quota.TasksInFlight, 3)
	}
	is.Equal(n[1].applied[3].Outcome, state.Complete)
	is.Equal(n[0].applied[2].Outcome, state.NotRun)
	is.Equal(n[0].applied[2].Reason, state.ReasonLostRace)
	is.Equal(n[0].applied[2].Version, state.Version(2))
}

// The service takes the record in and its reply is lost. The clerk hears
// "accepted" once the node reads the record. Appending again would leave a
// second record, refused in every node's history as a race that never was.
func TestLostReplyIsSettledByReading(t *testing.T) {
	each(t, safeguards{appendOnce: true}, func(off safeguards) bool {
		l, n := declared(off, "a")
		n[0].put(t0, 2, "gridlog", 1, file("gridlog", "yard-logbook", 2))
		data := n[0].appends[0]
		n[0].flush(l)
		n[0].take(n[0].AppendFailed(t0, data, FailureUnknown))
		n[0].flush(l)
		n[0].read(t0, l)
		return n[0].applied[2].Outcome == state.Complete && len(l.records) == 2
	})
}

// The reply to the first clerk's append is lost and so is the record. The
// second clerk's apply against the same base is accepted. The first can never
// be accepted any more, so its clerk hears "lost race" at once and not
// "unknown" after the limit.
func TestReplacedBaseSettlesALostAppend(t *testing.T) {
	each(t, safeguards{baseReplaced: true}, func(off safeguards) bool {
		l, n := declared(off, "a", "b")
		n[0].put(t0, 2, "gridlog", 1, file("gridlog", "yard-logbook", 2))
		n[0].take(n[0].AppendFailed(t0, n[0].appends[0], FailureUnknown))
		n[0].appends = nil
		n[1].put(t0, 3, "gridlog", 1, file("gridlog", "yard-logbook", 3))
		n[1].flush(l)
		n[0].read(t0, l)
		n[0].take(n[0].Tick(t0.Add(DefaultSettleLimit)))
		return n[0].applied[2].Reason == state.ReasonLostRace
	})
}

// The log goes down in the middle of an apply. If it certainly took no record,
// the clerk hears "not run". If it may have, the clerk hears "unknown" after
// the limit, once; the record that turns up later is in force all the same and
// its outcome can be asked for by its id.
func TestOutageInTheMiddle(t *testing.T) {
	is := is.New(t)
	l, n := declared(safeguards{}, "a")
	n[0].put(t0, 2, "gridlog", 1, file("gridlog", "yard-logbook", 2))
	n[0].take(n[0].AppendFailed(t0, n[0].appends[0], FailureRefused))
	n[0].appends = nil
	is.Equal(n[0].applied[2].Outcome, state.NotRun)
	is.Equal(n[0].applied[2].Reason, state.ReasonLogUnavailable)

	n[0].put(t0, 3, "gridlog", 1, file("gridlog", "yard-logbook", 3))
	n[0].take(n[0].AppendFailed(t0, n[0].appends[0], FailureUnknown))
	n[0].take(n[0].ReadFailed(t0))
	n[0].take(n[0].Tick(t0.Add(DefaultSettleLimit - 1)))
	is.Equal(len(n[0].applied), 2)
	n[0].take(n[0].Tick(t0.Add(DefaultSettleLimit)))
	is.Equal(n[0].applied[3].Outcome, state.Unknown)
	is.Equal(n[0].applied[3].Reason, state.ReasonApplyUnknown)

	n[0].flush(l)
	n[0].read(t0.Add(time.Hour), l) // take panics on a second answer
	cur, _ := n[0].set.Operator("gridlog")
	is.Equal(cur.File.Quota.TasksInFlight, 3)
	ev, ok := n[0].set.Outcome("a-3")
	is.True(ok)
	is.Equal(ev.Verdict, declaration.VerdictAccepted)
}

// A node writes a refresh, and an apply gets into the log before it. Node c
// then starts at a log that begins with the late refresh: it must not take the
// replaced version for the current one, and the next refresh tells it.
func TestRefreshRacesAnApply(t *testing.T) {
	is := is.New(t)
	l, n := declared(safeguards{}, "a", "b")
	late, ok := n[0].set.Refresh("gridlog")
	is.True(ok)
	n[1].put(t0, 2, "gridlog", 1, file("gridlog", "yard-logbook", 2))
	n[1].flush(l)
	data, err := late.Encode()
	is.NoErr(err)
	l.records = append(l.records, data)
	for _, node := range n {
		node.read(t0, l)
		cur, _ := node.set.Operator("gridlog")
		is.Equal(cur.Version, state.Version(2))
	}
	c := newNode("c", nil)
	truncated := &fakeLog{first: 3, records: l.records[2:]}
	c.read(t0, truncated)
	_, known := c.set.Operator("gridlog")
	is.True(!known)
	is.True(!c.Ready())

	now, _ := n[0].set.Refresh("gridlog")
	data, err = now.Encode()
	is.NoErr(err)
	truncated.records = append(truncated.records, data)
	c.read(t0, truncated)
	is.Equal(c.set.Digest(), n[0].set.Digest())
	is.True(c.Ready())
}

// The log is down and a node comes up. It asks two peers, one of which missed
// the last change, and takes the newer answer. The late answer changes nothing.
func TestNewcomerInAnOutageTakesTheNewest(t *testing.T) {
	is := is.New(t)
	l, n := declared(safeguards{}, "a", "b")
	n[0].put(t0, 2, "gridlog", 1, file("gridlog", "yard-logbook", 2))
	n[0].flush(l)
	n[0].read(t0, l) // b misses it
	c := newNode("c", nil)
	c.Peers([]state.NodeID{"a", "b", "c"})
	c.take(c.Tick(t0))
	is.Equal(len(c.sent), 2)
	for _, peer := range n { // a's answer comes before b's
		peer.take(peer.Handle(t0, "c", c.sent[0].Msg))
		c.take(c.Handle(t0, peer.opts.Self, peer.sent[0].Msg))
	}
	is.True(c.Ready())
	is.Equal(c.set.Digest(), n[0].set.Digest())
	c.read(t0, &fakeLog{first: 1, records: l.records[:1]}) // the log is back, its end is not
	cur, _ := c.set.Operator("gridlog")
	is.Equal(cur.Version, state.Version(2))
}

// A node comes up when the log has forgotten everything. It must not hold that
// nothing is declared, and must not say it is ready.
func TestEmptiedLogIsNotAnEmptyOne(t *testing.T) {
	is := is.New(t)
	young, old := newNode("a", nil), newNode("b", nil)
	young.read(t0, &fakeLog{first: 1})
	is.True(young.Ready())
	old.read(t0, &fakeLog{first: 501})
	is.True(!old.Ready())
}

// All nodes are replaced while the log is down. None of them knows anything; if
// they answered one another they would all hold that nothing is declared, and
// refuse every caller's service as unknown.
func TestNewcomersDoNotConvinceEachOther(t *testing.T) {
	each(t, safeguards{silentIgnorant: true}, func(off safeguards) bool {
		a, b := newNode("a", nil), newNode("b", nil)
		a.disabled, b.disabled = off, off
		a.Peers([]state.NodeID{"b"})
		a.take(a.Tick(t0))
		b.take(b.Handle(t0, "a", a.sent[0].Msg))
		for _, reply := range b.sent {
			a.take(a.Handle(t0, "b", reply.Msg.(message.DeclarationReply)))
		}
		return !a.Ready()
	})
}

// Records run out before any node has read them, so no node has a complete view.
// What was in force before stays, so they go on serving, and a newcomer learns it
// from them. If each called itself not ready, the balancer would take every entry
// away and nobody would answer the newcomer, because of a log that nobody needs
// for a job.
func TestLostViewTakesNobodyOutOfService(t *testing.T) {
	is := is.New(t)
	l, nodes := declared(safeguards{}, "a", "b")
	for _, n := range nodes {
		is.True(n.Ready())
		n.read(t0.Add(time.Hour), &fakeLog{first: 501})
		is.True(!n.set.Complete())
		is.True(n.Ready())
	}
	c := newNode("c", nil)
	c.Peers([]state.NodeID{"a", "b"})
	c.read(t0.Add(time.Hour), &fakeLog{first: 501})
	is.True(!c.Ready())
	c.take(c.Tick(t0.Add(time.Hour)))
	for i, n := range nodes {
		n.take(n.Handle(t0.Add(time.Hour), "c", c.sent[i].Msg))
		c.take(c.Handle(t0.Add(time.Hour), n.opts.Self, n.sent[0].Msg))
	}
	is.True(c.Ready())
	is.Equal(c.set.Digest(), nodes[0].set.Digest())
	is.Equal(len(l.records), 1)
}
