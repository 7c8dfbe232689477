package loadgen

import (
	"cmp"
	"slices"

	"github.com/shallotstep/shallotstep/state"
)

// Messages is what complete jobs cost, as their homes count it. Starts are the
// tasks of those jobs.
type Messages struct {
	Starts         int     `json:"starts"`
	Sent           int     `json:"sent"`
	Wasted         int     `json:"wasted"`
	PerStart       float64 `json:"per_start"`
	WastedPerStart float64 `json:"wasted_per_start"`
	// WastedByKind is Wasted by the homes' and entries' kinds of it.
	WastedByKind map[string]int `json:"wasted_by_kind"`
}

// Resubmissions counts jobs that were submitted twice. Compared are those of
// which both callers learned the outcome.
type Resubmissions struct {
	Sent     int `json:"sent"`
	Compared int `json:"compared"`
	// During is how many were sent before the first answer had come.
	During int `json:"during"`
}

// Cancellations counts jobs that were cancelled and what came of it.
type Cancellations struct {
	Sent      int `json:"sent"`
	Cancelled int `json:"cancelled"`
	TooLate   int `json:"too_late"`
	Failed    int `json:"failed"`
}

func countOutcomes(rows []Row) []OutcomeCount {
	counts := make(map[OutcomeCount]int)
	for i := range rows {
		counts[OutcomeCount{Outcome: rows[i].Outcome, Reason: rows[i].Reason}]++
	}
	var out []OutcomeCount
	for key, n := range counts {
		key.Jobs = n
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

func (m *Messages) add(row *Row) {
	if row.Outcome == state.Complete.String() {
		m.Starts += row.Tasks
		m.Sent += row.Messages
		m.Wasted += row.Wasted
		for kind, n := range row.WastedByKind {
			m.WastedByKind[kind] += n
		}
	}
}

func (m *Messages) finish() {
	if m.Starts > 0 {
		m.PerStart = float64(m.Sent) / float64(m.Starts)
		m.WastedPerStart = float64(m.Wasted) / float64(m.Starts)
	}
}

func (s *Resubmissions) add(r *record) {
	if !r.second.made {
		return
	}
	s.Sent++
	if r.second.sent < r.first.done {
		s.During++
	}
	if r.first.outcome() != state.Unknown && r.second.outcome() != state.Unknown {
		s.Compared++
	}
}

func (s *Cancellations) add(r *record) {
	switch {
	case !r.stop.made:
		return
	case r.stop.failure != nil:
		s.Failed++
	case cancelled(&r.stop):
		s.Cancelled++
	default:
		s.TooLate++
	}
	s.Sent++
}
