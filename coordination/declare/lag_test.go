package declare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// lateBy is a fleet at full size whose processes read a change within 200 ms,
// but one, which reads it 10 s later. Each said so some time ago.
func lateBy(change, now time.Time, age func(i int) time.Duration) []Reading {
	const processes, late = 990, 417
	var out []Reading
	for i := range processes {
		read := change.Add(time.Duration(i%200) * time.Millisecond)
		if i == late {
			read = change.Add(10 * time.Second)
		}
		r := Reading{ID: state.NodeID(fmt.Sprintf("agent-%d", i)), Offset: 7, At: read, Said: now.Add(-age(i))}
		if r.Said.Before(read) { // it had only read the one before
			r.Offset, r.At = 6, change.Add(-time.Minute)
		}
		out = append(out, r)
	}
	return out
}

// One process of 990 reads the log 10 s late. One look is enough to name it: 20 s
// after the change by when it read it, whatever the age of its news, and 8 s
// after the change by what it hasn't read, if it has spoken since. No other is
// called late, also where the news of it is older than the change.
func TestOneLateReaderIsNamed(t *testing.T) {
	is := is.New(t)
	m := newNode("entry", nil)
	l := &fakeLog{first: 1}
	for o := range 6 {
		m.put(t0, uint64(o), fmt.Sprintf("op%d", o), 0, file(fmt.Sprintf("op%d", o), fmt.Sprintf("s%d", o), 1))
	}
	m.flush(l)
	m.read(t0, l) // comes up
	change := t0.Add(time.Hour)
	m.put(change, 9, "op9", 0, file("op9", "s9", 1))
	m.flush(l)
	m.read(change.Add(50*time.Millisecond), l)

	for _, after := range []time.Duration{8 * time.Second, 20 * time.Second, 30 * time.Minute} {
		now := change.Add(after)
		age := func(i int) time.Duration { return time.Duration(i%7) * 150 * time.Millisecond }
		lags := m.Lags(now, lateBy(change, now, age))
		is.Equal(len(lags), 991)
		is.Equal(lags[0].ID, state.NodeID("agent-417"))
		is.True(lags[0].Late())
		is.True(!lags[1].Late())
		is.True(lags[1].Lag < time.Second)
	}
	// News as old as gossip's at full size: up to 50 s.
	now := change.Add(15 * time.Second)
	old := lateBy(change, now, func(i int) time.Duration { return time.Duration(i%50) * time.Second })
	for _, lag := range m.Lags(now, old) {
		is.True(!lag.Late() || lag.ID == "agent-417")
	}
}

// The entry asked is itself the one that reads late, by 10 s or not at all. It
// finds itself at the head of the list, by what the others have said.
func TestEntryFindsItselfLate(t *testing.T) {
	is := is.New(t)
	m := newNode("entry", nil)
	l := &fakeLog{first: 1}
	m.put(t0, 1, "op", 0, file("op", "s", 1))
	m.flush(l)
	m.read(t0, l)
	others := []Reading{{ID: "a", Offset: 2, At: t0.Add(time.Minute), Said: t0.Add(time.Minute + time.Second)}}
	lags := m.Lags(t0.Add(70*time.Second), others)
	is.Equal(lags[0].ID, state.NodeID("entry"))
	is.Equal(lags[0].Lag, 10*time.Second)
	is.Equal(lags[0].Behind, int64(1))
	m.put(t0, 2, "op", 1, file("op", "s", 2))
	m.flush(l)
	m.read(t0.Add(72*time.Second), l)
	lags = m.Lags(t0.Add(73*time.Second), others)
	is.Equal(lags[0].ID, state.NodeID("entry"))
	is.Equal(lags[0].Lag, 12*time.Second)
	is.Equal(lags[0].Behind, int64(0))
}

// A process that has just come up has read everything at once, and isn't late.
func TestNewcomerIsNotLate(t *testing.T) {
	is := is.New(t)
	m := newNode("entry", nil)
	lags := m.Lags(t0.Add(time.Hour), []Reading{
		{ID: "new", Offset: 3, Said: t0.Add(time.Hour)},
		{ID: "old", Offset: 3, At: t0, Said: t0.Add(time.Hour)},
	})
	is.Equal(len(lags), 3)
	for _, lag := range lags {
		// The node that was asked has read nothing at all, and that is late.
		is.Equal(lag.Late(), lag.ID == "entry")
	}
}

// Only the latest records' times are kept, whatever is read, also over a gap.
func TestReadTimesAreBounded(t *testing.T) {
	is := is.New(t)
	var r readTimes
	for o := range int64(1000) {
		r.add(o, t0.Add(time.Duration(o)*time.Second))
	}
	at := r.byOffset()
	is.Equal(len(at), recentReads)
	is.Equal(at[999], t0.Add(999*time.Second))
	is.Equal(at[1000-recentReads], t0.Add((1000-recentReads)*time.Second))
	r.add(2000, t0)
	is.Equal(len(r.byOffset()), 1)
}
