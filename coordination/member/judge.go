package member

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/member/watch"
	"github.com/shallotstep/shallotstep/state"
)

// wideLoss is how many members of one group may be silent together and still be
// judged like single ones: a few racks of today, far less than a domain.
const wideLoss = 8

// heardShare is the part of a group's watched members that must be heard for
// the group to count as heard, as a fraction 1/heardShare. After a restart of
// everything the roster lists each host twice, once dead, so it is less than
// half. Of the members that this process has ever heard it must be half: a rack
// that is cut from its domain still hears its own.
const (
	heardShare = 3
	knownShare = 2
)

// evidenceFraction of EvictAfter is how lately a member must have been heard to
// count as alive. Watchers hear a living member every four seconds.
const evidenceFraction = 2

// verdict is what one look at the watched members came to.
type verdict struct {
	// cutOff says that this node hears too little to judge anyone.
	cutOff bool
	// wait is how long a member of each silent group must be silent, where that
	// is longer than EvictAfter.
	wait map[string]time.Duration
}

// tally counts the watched members of one group.
type tally struct {
	watched int
	// known are those that this process has ever heard.
	known int
	alive int
}

func (t tally) heard() bool {
	return heardShare*t.alive >= t.watched && knownShare*t.alive >= t.known
}

// silentLocked returns how long a member has been silent while this node was
// able to hear it.
//
// After a pause everybody looks silent, because what they said in the meantime
// waits in the socket buffers or is lost: a full period must pass from then on.
// The same holds for a member that is new to this node.
func (m *Machine) silentLocked(now time.Time, id state.NodeID) time.Duration {
	since := m.resumed
	if at, ok := m.o.Heard(id); ok && at.After(since) {
		since = at
	}
	if at, ok := m.firstSeen[id]; ok && at.After(since) {
		since = at
	}
	return now.Sub(since)
}

// aliveLocked tells whether a member was really heard lately. That it is new or
// that this node paused is no evidence of life.
//
// Lately is half of EvictAfter. Members speak at different times, so when this
// node is cut off, the first reach EvictAfter while the last were heard a moment
// less ago. Were these still evidence, the node would evict the first ones in
// the seconds before it noticed. Now all evidence is gone before anybody has
// been silent for long enough.
func (m *Machine) aliveLocked(now time.Time, id state.NodeID) bool {
	at, ok := m.o.Heard(id)
	return ok && now.Sub(at) <= m.o.EvictAfter/evidenceFraction
}

// notePauseLocked notices that this process stood still.
func (m *Machine) notePauseLocked(now time.Time) {
	if now.Sub(m.lastTick) > m.o.EvictAfter/pauseFraction {
		m.resumed = now
	}
	m.lastTick = now
}

// judgeLocked decides whether this node may judge others, and how long the
// members of a silent group get.
//
// The watched members are a random sample of the region that this node hears
// directly. An observer that is cut off hears nobody and would evict the whole
// fleet, one record each. So it judges only while it hears a good part of its
// own group, and of at least half of the other groups.
//
// With one other group that rule can't tell a lost group from a cut between the
// two, and a lost one must be evicted: every pair spans both. Then both sides
// wait long, so that short cuts pass, and the side with fewer members waits
// twice as long. In a cut that lasts, the larger side evicts the smaller one,
// whose members learn that from the log and judge no more. A group that gives no
// sign of life in the log either gets less time: see suspect.go.
func (m *Machine) judgeLocked(now time.Time) verdict {
	grouping := watch.GroupingOf(m.region)
	home := grouping.Group(&m.o.Self)
	tallies := m.tallyLocked(now, grouping)
	m.noteGroupsLocked(now, tallies)
	others, heard := 0, 0
	for group, t := range tallies {
		if group == home {
			continue
		}
		others++
		if t.heard() {
			heard++
		}
	}
	if !tallies[home].heard() || (others > 1 && 2*heard < others) {
		return verdict{cutOff: true}
	}
	return verdict{wait: m.waitsLocked(grouping, home, tallies, others)}
}

func (m *Machine) tallyLocked(now time.Time, grouping watch.Grouping) map[string]tally {
	tallies := make(map[string]tally)
	for i := range m.watched {
		w := &m.watched[i]
		if m.predecessor(&w.Member) {
			continue
		}
		group := grouping.Group(&w.Member)
		t := tallies[group]
		t.watched++
		if _, known := m.o.Heard(w.ID); known {
			t.known++
		}
		if m.aliveLocked(now, w.ID) {
			t.alive++
		}
		tallies[group] = t
	}
	return tallies
}

func (m *Machine) waitsLocked(grouping watch.Grouping, home string, tallies map[string]tally, others int) map[string]time.Duration {
	sizes := make(map[string]int)
	for i := range m.region {
		sizes[grouping.Group(&m.region[i])]++
	}
	long := wideFactor * m.o.EvictAfter
	waits := make(map[string]time.Duration)
	for group, t := range tallies {
		if group == home || t.heard() {
			continue
		}
		switch {
		case others == 1 && !senior(home, group, sizes):
			waits[group] = 2 * long
		case others == 1 || sizes[group] > wideLoss:
			waits[group] = long
		}
	}
	return waits
}

// senior orders two groups that may be cut from each other: the larger one
// first, then by name.
func senior(a, b string, sizes map[string]int) bool {
	if sizes[a] != sizes[b] {
		return sizes[a] > sizes[b]
	}
	return a < b
}
