package declaration

import (
	"slices"

	"github.com/shallotstep/shallotstep/state"
)

const (
	// historyLength is how many applies are remembered for each operator.
	historyLength = 32
	// outcomeCount is how many applies' outcomes are remembered by id, over all
	// operators: two days' worth at 2,200 changes a day.
	outcomeCount = 4096
)

// HistoryEntry is one apply of an operator that this node has read. A node
// knows only what it read since it came up.
type HistoryEntry struct {
	Offset  int64
	ApplyID string
	Base    state.Version
	// Accepted says whether the apply is or was in force.
	Accepted bool
	// Reason and Detail say why it was refused.
	Reason state.Reason
	Detail string
}

// History returns an operator's latest applies, oldest first.
func (s *Set) History(operator string) []HistoryEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.histories[operator])
}

// Outcome returns what became of an apply, if this node has judged it lately.
func (s *Set) Outcome(applyID string) (Event, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ev, ok := s.outcomes.events[applyID]
	return ev, ok
}

// noteLocked remembers the verdict on an apply.
func (s *Set) noteLocked(ev Event) {
	if ev.Verdict != VerdictAccepted && ev.Verdict != VerdictRefused {
		return
	}
	s.outcomes.add(ev)
	// An operator that never had anything accepted is no reason to keep
	// memory: anybody could fill it with made-up names.
	if ev.Verdict == VerdictRefused && s.ledger.accounts[ev.Operator] == nil {
		return
	}
	h := append(s.histories[ev.Operator], HistoryEntry{
		Offset:   ev.Offset,
		ApplyID:  ev.ApplyID,
		Base:     ev.Base,
		Accepted: ev.Verdict == VerdictAccepted,
		Reason:   ev.Reason,
		Detail:   ev.Detail,
	})
	if len(h) > historyLength {
		h = slices.Clone(h[len(h)-historyLength:])
	}
	s.histories[ev.Operator] = h
}

// outcomes remembers the latest verdicts by apply id, oldest out first.
type outcomes struct {
	events map[string]Event
	order  []string
	next   int
}

func newOutcomes() *outcomes {
	return &outcomes{events: make(map[string]Event)}
}

func (o *outcomes) add(ev Event) {
	// The first verdict stands: a second record under the same id is a copy.
	if _, known := o.events[ev.ApplyID]; known {
		return
	}
	o.events[ev.ApplyID] = ev
	if len(o.order) < outcomeCount {
		o.order = append(o.order, ev.ApplyID)
		return
	}
	delete(o.events, o.order[o.next])
	o.order[o.next] = ev.ApplyID
	o.next = (o.next + 1) % outcomeCount
}
