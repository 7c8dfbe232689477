package member

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/member/watch"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// A whole group that is silent is lost, or cut off. To tell these apart the
// log is asked. Those who judge write Suspect records, one every askEvery; each
// member of the group that reads one has it answered by an Alive record,
// whatever it hears itself, so a cut in one direction is answered too. Any
// record by a member of the group that follows a question is such a sign.
//
// With a sign it is a cut, and the long wait of judge.go holds. Without one the
// group is lost, or cut off from the log as well, and then it can't take part in
// claims that both members of a pair must record; it is evicted after the short
// wait.
//
// The danger is that a living group reads the question late. The log's own order
// and service must vouch for it, not the time that has passed: an outage of the
// log might have begun just after the question was read here. So it takes a row
// of questions, each read at most askGap after the one before, over answerTime.
// A log that is out of service, or slow, breaks the row, and the long wait holds.
const (
	// askEvery is between two questions to a group.
	askEvery = 2 * time.Second
	// askStep is how much longer each further asker waits for the one before.
	askStep = time.Second
	// askGap is the longest time between two questions of a row. It is two
	// askers' turns, so that one lost append doesn't break the row.
	askGap = 2 * askEvery
	// answerTime is how long a row of questions must be. A living group has
	// this long to answer, less a gap and the longest pause between two reads
	// of the log after failures, 3 s.
	answerTime = 10 * time.Second
	// answerStep is how much longer each further member waits to answer.
	answerStep = 500 * time.Millisecond
	// maxAskers and maxAnswerers bound the appends when the log takes them and
	// shows none.
	maxAskers    = 8
	maxAnswerers = 8
)

// shortWait is how long a group without a sign of life must be silent, as a
// fraction of EvictAfter: longer than a single member, because a wrong judgement
// costs so much more.
const (
	shortNumerator   = 4
	shortDenominator = 3
)

// noiseFraction of EvictAfter is how long a group must have been silent for its
// return to count. Half-lost groups are on the verge of being heard, and a lost
// message more or less must not put off the evictions for ever. In a cut of
// EvictAfter a group is silent for half of that at least.
const noiseFraction = 4

// suspicion is what the log has shown of one silent group. Times are of reading.
type suspicion struct {
	// since is when this node found the group silent; zero if it hears it.
	since time.Time
	// back is when it heard the group again after that.
	back time.Time
	// first and last are of the row of questions.
	first time.Time
	last  time.Time
	// shown is of the last sign of life.
	shown time.Time
}

func (m *Machine) suspicionLocked(group string) *suspicion {
	s, known := m.suspicions[group]
	if !known {
		s = &suspicion{}
		m.suspicions[group] = s
	}
	return s
}

// noteSignsLocked takes in who has written a record, and to whom a question is.
func (m *Machine) noteSignsLocked(now time.Time, offset int64, record roster.Record) {
	if writer, ok := m.writerLocked(record); ok {
		m.noteAliveLocked(now, writer)
	}
	ask, ok := record.(roster.Suspect)
	if !ok || ask.Region != m.o.Self.Region || !m.groupsLocked()[ask.Group] {
		return
	}
	delete(m.pending, purpose{kind: roster.KindSuspect, group: ask.Group})
	s := m.suspicionLocked(ask.Group)
	if s.last.IsZero() || now.Sub(s.last) > askGap && !m.o.disabled.unbroken {
		s.first = now
	}
	s.last = now
	m.drawAnswerLocked(now, offset, ask.Group)
}

// groupsLocked are the groups that the region has.
func (m *Machine) groupsLocked() map[string]bool {
	grouping := watch.GroupingOf(m.region)
	out := make(map[string]bool)
	for i := range m.region {
		out[grouping.Group(&m.region[i])] = true
	}
	return out
}

// dropSuspicionsLocked forgets the groups that the region has no more.
func (m *Machine) dropSuspicionsLocked() {
	groups := m.groupsLocked()
	for group := range m.suspicions {
		if !groups[group] {
			delete(m.suspicions, group)
		}
	}
}

// writerLocked returns the member of the own region that wrote a record. A
// snapshot doesn't say who wrote it.
func (m *Machine) writerLocked(record roster.Record) (state.Member, bool) {
	switch r := record.(type) {
	case roster.Join:
		return r.Member, r.Member.Region == m.o.Self.Region
	case roster.Leave:
		return m.inRegionLocked(r.NodeID)
	case roster.Evict:
		return m.inRegionLocked(r.By)
	case roster.Suspect:
		return m.inRegionLocked(r.By)
	case roster.Alive:
		return m.inRegionLocked(r.By)
	}
	return state.Member{}, false
}

func (m *Machine) inRegionLocked(id state.NodeID) (state.Member, bool) {
	for i := range m.region {
		if m.region[i].ID == id {
			return m.region[i], true
		}
	}
	return state.Member{}, false
}

// noteAliveLocked ends the row of questions to a group that has given a sign.
func (m *Machine) noteAliveLocked(now time.Time, writer state.Member) {
	grouping := watch.GroupingOf(m.region)
	group := grouping.Group(&writer)
	if group == grouping.Group(&m.o.Self) {
		m.answerAt = time.Time{}
	}
	if m.o.disabled.signs {
		return
	}
	// What was written before the first question proves nothing: the group may
	// have been lost since.
	if s := m.suspicionLocked(group); !s.last.IsZero() {
		s.shown = now
		s.first, s.last = time.Time{}, time.Time{}
	}
}

// drawAnswerLocked has a few members of the group answer, one after the other
// until a sign is read. Each question draws others: those drawn for one may be
// dead.
func (m *Machine) drawAnswerLocked(now time.Time, offset int64, group string) {
	grouping := watch.GroupingOf(m.region)
	if group != grouping.Group(&m.o.Self) || !m.joined {
		return
	}
	var own []state.Member
	for i := range m.region {
		if grouping.Group(&m.region[i]) == group {
			own = append(own, m.region[i])
		}
	}
	turn := m.placeLocked(keyOf("alive after", offset), own)
	if turn < 0 || turn >= maxAnswerers || !m.answerAt.IsZero() {
		return
	}
	m.answerAt = now.Add(time.Duration(turn) * answerStep)
}

// answerLocked gives the sign of life that is due. It doesn't wait for the fate
// of an earlier one, for a second does no harm: in a group of two a lost append
// would leave the next questions without an answer.
func (m *Machine) answerLocked(now time.Time) []coordination.Action {
	if m.answerAt.IsZero() || now.Before(m.answerAt) {
		return nil
	}
	m.answerAt = time.Time{}
	m.stats.Alives++
	return []coordination.Action{appendOf(roster.Alive{By: m.o.Self.ID})}
}

// suspectLocked asks the silent groups that have given no sign of life.
func (m *Machine) suspectLocked(now time.Time, v verdict) []coordination.Action {
	var out []coordination.Action
	for group := range v.wait {
		s := m.suspicionLocked(group)
		if m.o.disabled.short || m.shownLocked(now, s) || !m.askerLocked(now, group, s) {
			continue
		}
		ask := roster.Suspect{Region: m.o.Self.Region, Group: group, By: m.o.Self.ID}
		out = append(out, m.appendLocked(now, purpose{kind: roster.KindSuspect, group: group}, ask)...)
	}
	m.stats.Suspects += len(out)
	return out
}

// askerLocked tells whether it is this node's turn to ask a group.
func (m *Machine) askerLocked(now time.Time, group string, s *suspicion) bool {
	// A process that has just begun to run has heard nobody yet.
	from := later(s.since, m.resumed.Add(m.o.EvictAfter/evidenceFraction))
	if !s.last.IsZero() {
		from = later(from, s.last.Add(askEvery))
	}
	if now.Before(from) {
		return false
	}
	grouping := watch.GroupingOf(m.region)
	var others []state.Member
	for i := range m.region {
		if grouping.Group(&m.region[i]) != group {
			others = append(others, m.region[i])
		}
	}
	turn := m.placeLocked("suspect "+group, others)
	return turn >= 0 && turn < maxAskers && now.Sub(from) >= time.Duration(turn)*askStep
}

// shownLocked tells whether a group has lately given a sign of life. It counts
// for as long as the long wait: without that the questions of a cut would go on,
// two records every askEvery.
func (m *Machine) shownLocked(now time.Time, s *suspicion) bool {
	return !s.shown.IsZero() && now.Sub(s.shown) <= wideFactor*m.o.EvictAfter
}

// noteGroupsLocked notes which groups are silent, and which are back.
func (m *Machine) noteGroupsLocked(now time.Time, tallies map[string]tally) {
	for group, t := range tallies {
		s := m.suspicionLocked(group)
		switch {
		case !t.heard() && s.since.IsZero():
			s.since = now
		case t.heard() && !s.since.IsZero():
			if now.Sub(s.since) >= m.o.EvictAfter/noiseFraction {
				s.back = now
			}
			s.since = time.Time{}
		}
	}
}

// backLocked tells whether a silent group has been heard again so lately that
// its members may not all have spoken yet.
//
// Members speak at different times. When a cut of more than EvictAfter ends, the
// group counts as heard with the first half of them, and the others, not heard
// since before the cut, would be evicted that very second. They get a full
// period, like everybody after a pause.
func (m *Machine) backLocked(now time.Time, group string) bool {
	s := m.suspicionLocked(group)
	return !m.o.disabled.back && !s.back.IsZero() && now.Sub(s.back) <= m.o.EvictAfter
}

// unansweredLocked tells whether a group was asked for long enough, by a log
// that was in service all the time, and gave no sign of life.
func (m *Machine) unansweredLocked(now time.Time, group string) bool {
	s := m.suspicionLocked(group)
	off := &m.o.disabled
	switch {
	case off.short:
		return false
	case off.question:
		return true
	case s.last.IsZero() || !off.unbroken && now.Sub(s.last) > askGap:
		return false
	}
	return off.span || s.last.Sub(s.first) >= answerTime
}

// shortWaitLocked is the wait for a group without a sign of life.
func (m *Machine) shortWaitLocked() time.Duration {
	return m.o.EvictAfter * shortNumerator / shortDenominator
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
