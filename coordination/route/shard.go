package route

import (
	"cmp"
	"container/heap"
	"slices"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// shard holds the flights of a part of the keys.
type shard struct {
	mu       sync.Mutex
	byKey    map[state.JobKey][]*flight            // guarded by mu; submissions only
	attempts map[message.Attempt]*flight           // guarded by mu; current and open attempts
	targets  map[state.NodeID]map[*flight]struct{} // guarded by mu; who owes an answer to whom
	all      map[*flight]struct{}                  // guarded by mu
	left     map[state.JobKey][]attempt            // guarded by mu; see doc.go
	leftLog  []leftEntry                           // guarded by mu; oldest first
	timers   timers[*flight]                       // guarded by mu
	acts     []coordination.Action                 // guarded by mu; of the call in progress
}

type leftEntry struct {
	key   state.JobKey
	id    message.Attempt
	until time.Time
}

func (s *shard) init() {
	s.byKey = make(map[state.JobKey][]*flight)
	s.attempts = make(map[message.Attempt]*flight)
	s.targets = make(map[state.NodeID]map[*flight]struct{})
	s.all = make(map[*flight]struct{})
	s.left = make(map[state.JobKey][]attempt)
}

func (s *shard) takeLocked() []coordination.Action {
	acts := s.acts
	s.acts = nil
	return acts
}

// findLocked returns the submission under way with this key and content.
func (s *shard) findLocked(key state.JobKey, d state.Digest) *flight {
	for _, f := range s.byKey[key] {
		if f.digest == d {
			return f
		}
	}
	return nil
}

// openLocked reports whether an attempt for this key may still be granted.
func (s *shard) openLocked(key state.JobKey) bool {
	for _, f := range s.byKey[key] {
		if len(f.open) > 0 {
			return true
		}
	}
	return len(s.left[key]) > 0
}

func (s *shard) addLocked(f *flight) {
	s.all[f] = struct{}{}
	if f.kind != kindSubmit {
		return
	}
	s.byKey[f.key] = append(s.byKey[f.key], f)
	s.inheritLocked(f)
}

// inheritLocked makes f answer for the attempts that earlier flights with its
// key and content left open.
func (s *shard) inheritLocked(f *flight) {
	rest := s.left[f.key][:0]
	for _, a := range s.left[f.key] {
		if a.digest != f.digest {
			rest = append(rest, a)
			continue
		}
		f.open = append(f.open, a)
		s.attempts[a.id] = f
	}
	s.setLeftLocked(f.key, rest)
}

func (s *shard) setLeftLocked(key state.JobKey, left []attempt) {
	if len(left) == 0 {
		delete(s.left, key)
		return
	}
	s.left[key] = left
}

// removeLocked forgets a flight but for the attempts it leaves open.
func (s *shard) removeLocked(now time.Time, f *flight) {
	f.done = true
	delete(s.all, f)
	s.aimLocked(f, "")
	delete(s.attempts, f.cur.id)
	for _, a := range f.open {
		delete(s.attempts, a.id)
		s.left[f.key] = append(s.left[f.key], a)
		s.leftLog = append(s.leftLog, leftEntry{f.key, a.id, now.Add(leftFor)})
	}
	rest := slices.DeleteFunc(s.byKey[f.key], func(g *flight) bool { return g == f })
	if len(rest) == 0 {
		delete(s.byKey, f.key)
		return
	}
	s.byKey[f.key] = rest
}

// aimLocked records who owes f an answer; empty means nobody.
func (s *shard) aimLocked(f *flight, target state.NodeID) {
	if f.target == target {
		return
	}
	if set := s.targets[f.target]; set != nil {
		delete(set, f)
		if len(set) == 0 {
			delete(s.targets, f.target)
		}
	}
	f.target = target
	if target == "" {
		return
	}
	if s.targets[target] == nil {
		s.targets[target] = make(map[*flight]struct{})
	}
	s.targets[target][f] = struct{}{}
}

// forgetLeftLocked drops what was remembered for long enough, or is too much.
func (s *shard) forgetLeftLocked(now time.Time) {
	for len(s.leftLog) > 0 {
		e := s.leftLog[0]
		if len(s.leftLog) <= leftMax && now.Before(e.until) {
			return
		}
		s.leftLog = s.leftLog[1:]
		rest := slices.DeleteFunc(s.left[e.key], func(a attempt) bool { return a.id == e.id })
		s.setLeftLocked(e.key, rest)
	}
}

// sorted returns flights in the order they began, so that a run repeats.
func sorted(set map[*flight]struct{}) []*flight {
	out := make([]*flight, 0, len(set))
	for f := range set {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b *flight) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

// scheduleLocked sees to it that f is looked at in time.
func (s *shard) scheduleLocked(f *flight) {
	due := f.nextDue()
	if f.done || due.Equal(f.due) {
		return
	}
	f.due = due
	if !due.IsZero() {
		heap.Push(&s.timers, timer[*flight]{due, f})
	}
}

// popDueLocked returns the next flight whose time has come, or nil.
func (s *shard) popDueLocked(now time.Time) *flight {
	for len(s.timers) > 0 && !s.timers[0].at.After(now) {
		t := heap.Pop(&s.timers).(timer[*flight])
		if !t.of.done && t.at.Equal(t.of.due) {
			t.of.due = time.Time{}
			return t.of
		}
	}
	return nil
}
