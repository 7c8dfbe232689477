package declare

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// LateAfter is from when on a process counts as late: a change has to be in
// force everywhere within this time.
const LateAfter = 5 * time.Second

// recentReads is for how many records a node remembers when it read them. At the
// target size about 3,000 come in a day, so this is over two hours.
const recentReads = 256

// readTimes is when the latest records were read, oldest first.
type readTimes struct {
	first int64 // offset of times[0]
	times []time.Time
}

func (r *readTimes) add(offset int64, at time.Time) {
	if len(r.times) == 0 || offset != r.first+int64(len(r.times)) {
		r.first = offset
		r.times = r.times[:0]
	}
	r.times = append(r.times, at)
	if len(r.times) > recentReads {
		r.times = slices.Delete(r.times, 0, len(r.times)-recentReads)
		r.first = offset + 1 - recentReads
	}
}

// Reading is what a process said of how far it has read.
type Reading struct {
	ID     state.NodeID
	Offset int64
	// At is when it read the offset; zero if it did so when it came up.
	At time.Time
	// Said is when it said this.
	Said       time.Time
	Incomplete bool
	// Entry says that it is no agent.
	Entry bool
}

// Heard reports whether the process has said anything.
func (r *Reading) Heard() bool { return !r.Said.IsZero() }

// Lag is how late a process is, as far as it can be told from what it said.
type Lag struct {
	Reading
	// Behind is how many records others had read when it said this, and it hadn't.
	Behind int64
	// Lag is how much later than the first of all it has read its offset, or how
	// long it hadn't read the next one though another had, whichever is more.
	Lag time.Duration
}

// Late reports whether the process has missed the time in which changes have to
// be in force.
func (l *Lag) Late() bool { return l.Lag > LateAfter }

// Lags compares what processes said, this one among them, and returns it latest
// first. No clock but this node's is used, and no time of the log's: the first
// process that was heard to have read an offset stands for the append.
func (m *Machine) Lags(now time.Time, others []Reading) []Lag {
	p := m.Position(now)
	own := Reading{ID: m.opts.Self, Offset: max(0, p.Next-1), Said: now, Incomplete: p.Incomplete}
	m.mu.Lock()
	own.At = m.log.recordAt
	first := m.log.recent.byOffset()
	m.mu.Unlock()
	return lags(append(slices.Clone(others), own), first)
}

func (r *readTimes) byOffset() map[int64]time.Time {
	out := make(map[int64]time.Time, len(r.times))
	for i, at := range r.times {
		out[r.first+int64(i)] = at
	}
	return out
}

// lags works out how late each of the readings is. first is when this node read
// which offset; whoever was sooner improves on it.
func lags(readings []Reading, first map[int64]time.Time) []Lag {
	for _, r := range readings {
		at, known := first[r.Offset]
		if !r.At.IsZero() && (!known || r.At.Before(at)) {
			first[r.Offset] = r.At
		}
	}
	offsets := make([]int64, 0, len(first))
	for offset := range first {
		offsets = append(offsets, offset)
	}
	slices.Sort(offsets)
	out := make([]Lag, 0, len(readings))
	for _, r := range readings {
		out = append(out, lagOf(r, offsets, first))
	}
	slices.SortStableFunc(out, func(a, b Lag) int {
		return cmp.Or(cmp.Compare(b.Lag, a.Lag), cmp.Compare(b.Behind, a.Behind), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func lagOf(r Reading, offsets []int64, first map[int64]time.Time) Lag {
	l := Lag{Reading: r}
	if at, known := first[r.Offset]; known && !r.At.IsZero() {
		l.Lag = r.At.Sub(at)
	}
	next, _ := slices.BinarySearch(offsets, r.Offset+1)
	for _, offset := range offsets[next:] {
		// What was first read after it said this, it need not have read.
		if missed := r.Said.Sub(first[offset]); missed > 0 {
			l.Lag = max(l.Lag, missed)
			l.Behind = offset - r.Offset
		}
	}
	return l
}
