package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// An observer's network is cut while it can still reach the log. To it everybody
// looks dead. It must evict nobody; the others evict it, once.
func TestCutOffObserverEvictsNobody(t *testing.T) {
	for _, sizes := range [][]int{{4, 4, 3}, {6, 5}, {11}, {2, 2, 2, 2}} {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, site("j", sizes...)...)
			f.run(30 * time.Second)
			alone := f.nodes[1]
			f.cut = func(a, b *state.Member) bool { return a.ID == alone.self.ID || b.ID == alone.self.ID }
			f.losing(func(n *node) bool { return n != alone })
			f.run(5 * time.Minute)
			is.Equal(alone.Stats().Evictions, 0)
			is.True(alone.Stats().CutOff)
			f.losing(func(*node) bool { return false })
			f.run(2 * time.Minute)
			is.Equal(len(f.members()), 10-3*b2i(len(sizes) == 4))
			is.Equal(f.written()[evicts], 1)
			is.True(alone.Evicted())
		})
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// A top-of-rack switch dies: three agents hear only one another. They are a
// minority of their domain and must not evict the rest of it, nor the others.
func TestCutOffRackEvictsNobody(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 14, 14)...)
	f.run(30 * time.Second)
	inRack := func(m *state.Member) bool { return m.ID <= "j-0-10" && m.Domain == "d0" } // j-0-0, j-0-1, j-0-10
	f.cut = func(a, b *state.Member) bool { return inRack(a) != inRack(b) }
	f.losing(func(n *node) bool { return !inRack(&n.self) })
	f.run(5 * time.Minute)
	f.losing(func(*node) bool { return false })
	f.run(2 * time.Minute)
	is.Equal(len(f.members()), 25)
	for _, n := range f.nodes {
		if inRack(&n.self) {
			is.Equal(n.Stats().Evictions, 0)
		}
	}
}

// One of three domains is cut off. Its agents hear their own domain well, so only
// the silence of both others tells them that the fault is on their side.
func TestCutOffDomainEvictsNobody(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 4, 4, 3)...)
	f.run(30 * time.Second)
	f.cut = func(a, b *state.Member) bool { return (a.Domain == "d0") != (b.Domain == "d0") }
	f.losing(func(n *node) bool { return n.self.Domain != "d0" })
	f.run(5 * time.Minute)
	is.Equal(f.written()[evicts], 0)
	f.losing(func(*node) bool { return false })
	f.run(2 * time.Minute)
	is.Equal(len(f.members()), 7)
}

// Three agents are left of a region and have thirty dead to evict. The log takes
// several hundred appends a second from the whole fleet, so no node may send
// all of its records in one burst.
func TestEvictionsAreSpread(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 3, 30)...)
	f.run(30 * time.Second)
	f.each("d1", func(n *node) { n.dead = true })
	for range 180 {
		before := len(f.log)
		f.run(time.Second)
		is.True(len(f.log)-before <= 3*2)
	}
	is.Equal(len(f.members()), 3)
}

// A whole failure domain burns down. Every pair spans two domains, so its shares
// stay closed until each member is evicted, with one record each.
func TestLostDomainIsEvicted(t *testing.T) {
	for _, sizes := range [][]int{{20, 20}, {4, 4, 3}, {1, 1, 1}, {1, 1}} {
		for lost := range sizes {
			t.Run(fmt.Sprint(sizes, lost), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, site("j", sizes...)...)
				f.run(30 * time.Second)
				before := len(f.members())
				f.each(fmt.Sprintf("d%d", lost), func(n *node) { n.dead = true })
				f.run(2*wideFactor*DefaultEvictAfter + time.Minute)
				is.Equal(len(f.members()), before-sizes[lost])
				is.Equal(f.written()[evicts], sizes[lost])
			})
		}
	}
}

// Two domains of a region lose each other; both reach the log. Did both sides
// judge alike, each would evict the other and no pair would be left. A cut of
// half a minute must evict nobody; in a long one only one side may win.
func TestCutBetweenTwoDomainsHasOneWinner(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 10, 12)...)
	f.run(30 * time.Second)
	f.cut = func(a, b *state.Member) bool { return a.Domain != b.Domain }
	f.run(30 * time.Second)
	is.Equal(f.written()[evicts], 0)
	f.run(10 * time.Minute)
	is.Equal(f.written()[evicts], 10)
	f.each("d1", func(n *node) { is.True(!n.Evicted()) })
	f.each("d0", func(n *node) { is.Equal(n.Stats().Evictions, 0) })
}

// Two regions lose each other for an hour. Neither needs the other's agents for
// its pairs, and neither may evict them.
func TestCutBetweenRegionsEvictsNobody(t *testing.T) {
	is := is.New(t)
	far := site("kigali", 4)
	for i := range far {
		far[i].Domain = "jabana"
	}
	f := newFleet(t, append(site("jeonbuk", 4, 4, 4), far...)...)
	f.run(30 * time.Second)
	f.cut = func(a, b *state.Member) bool { return a.Region != b.Region }
	f.run(time.Hour)
	is.Equal(f.written()[evicts], 0)
}

// A process stands still for a minute (a paused virtual machine). When it goes
// on, everybody's last word is a minute old. It must hear for a full period
// before it judges. The others have evicted it meanwhile, which it reads late.
func TestPausedObserverWaitsBeforeItJudges(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 4, 4)...)
	f.run(30 * time.Second)
	n := f.nodes[0]
	n.paused = true
	f.run(time.Minute)
	n.paused = false
	n.noLog = true // it can't read of its eviction yet
	f.run(2 * time.Minute)
	is.Equal(n.Stats().Evictions, 0)
	n.noLog = false
	f.run(time.Second)
	is.True(n.Evicted())
	is.Equal(f.written()[evicts], 1)
}

// Everybody is paused together for a minute, as on one overloaded host. Nobody
// is dead and nobody may be evicted.
func TestPauseOfAllEvictsNobody(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 4, 4)...)
	f.run(31 * time.Second)
	f.now = f.now.Add(time.Minute)
	f.run(time.Minute)
	is.Equal(f.written()[evicts], 0)
}

// Half of a fleet joins at once, and an observer that can't hear the newcomers
// reads of them. That they are new is no evidence that it hears anybody: the
// observer, which is cut off at that moment, must not judge the others.
func TestNewMembersAreNoEvidence(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 4, 4)...)
	f.run(30 * time.Second)
	alone := f.nodes[0]
	f.cut = func(a, b *state.Member) bool { return a.ID == alone.self.ID || b.ID == alone.self.ID }
	f.run(12 * time.Second)
	for _, m := range site("k", 6, 6) {
		m.Region = "j"
		f.add(m)
	}
	f.run(10 * time.Second)
	is.Equal(alone.Stats().Evictions, 0)
}

// A new agent's join is read from the log at once, but its first words come 10 s
// later. Never heard, it looks silent since ever; it must get a full period.
func TestNewMemberGetsAFullPeriod(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 4, 4)...)
	f.run(30 * time.Second)
	m := site("new", 1)[0]
	m.Region = "j"
	n := f.add(m)
	f.cut = func(speaker, _ *state.Member) bool { return speaker.ID == m.ID }
	f.run(12 * time.Second)
	is.True(n.Joined())
	f.cut = func(_, _ *state.Member) bool { return false }
	f.run(time.Minute)
	is.Equal(f.written()[evicts], 0)
}

// A daemon crashes and is started again at once, so the roster lists it twice
// and the old incarnation's shares are closed. Nobody has to wait for the
// silence: the newcomer holds the address, so the old one is dead.
func TestRestartedNodeEvictsItsPredecessor(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 4, 4)...)
	f.run(30 * time.Second)
	f.nodes[3].dead = true
	again := f.nodes[3].self
	again.ID = "again"
	f.add(again)
	f.run(6 * time.Second)
	is.Equal(len(f.members()), 8)
	is.Equal(f.written()[evicts], 1)
}

// All hosts are replaced at once, under new addresses. The roster lists only
// dead members and then as many living ones. The newcomers must join although
// they hear no old member, and evict the dead although these are half of all.
func TestReplacedFleetRecovers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 4, 4, 3)...)
	f.run(30 * time.Second)
	for _, n := range f.nodes {
		n.dead = true
	}
	for _, m := range site("new", 4, 4, 3) {
		m.Region = "j"
		f.add(m)
	}
	f.run(3 * time.Minute)
	is.Equal(len(f.members()), 11)
	is.True(f.members()[0] == "new-0-0")
}

// Agents of a cut-off domain are evicted, end and start anew. Joining without
// hearing the other side, they would be evicted again and again, with two
// records for each agent and turn.
func TestNewcomerWaitsUntilItHearsTheOthers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 4, 4)...)
	f.run(30 * time.Second)
	f.cut = func(a, b *state.Member) bool { return a.Domain != b.Domain }
	m := site("new", 1)[0]
	m.Region = "j"
	n := f.add(m)
	f.run(20 * time.Second)
	is.Equal(n.Stats().Joins, 0)
	f.cut = func(_, _ *state.Member) bool { return false }
	f.run(6 * time.Second)
	is.True(n.Joined())
}

// The log drops records after its retention. Snapshots must come in time, from
// one owner at a time, also when the owner's appends are lost, and in quiet times.
func TestSnapshotsComeInTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 4, 4)...)
	f.run(2 * DefaultSnapshotEvery)
	is.Equal(f.written()[snapshotKind], 2)
	f.losing(func(n *node) bool { return n.turnLocked() == 0 })
	before := f.written()[snapshotKind]
	f.run(DefaultSnapshotEvery + time.Minute)
	is.Equal(f.written()[snapshotKind], before+1)
}

// A record comes between a snapshot's state and its place in the log, so that a
// newcomer must pass over it. The owner must notice and write another.
func TestOvertakenSnapshotIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 2, 2)...)
	f.run(time.Minute)
	overtaken := false
	f.onAppend = func(_ *node, data []byte) bool {
		record, _ := roster.Decode(data)
		if _, ok := record.(roster.Snapshot); ok && !overtaken {
			overtaken = true
			join, _ := roster.Encode(roster.Join{Member: state.Member{ID: "x", Region: "k"}})
			f.log = append(f.log, join)
		}
		return true
	}
	f.run(DefaultSnapshotEvery + time.Minute)
	is.True(overtaken)
	is.Equal(f.written()[snapshotKind], 2)
}
