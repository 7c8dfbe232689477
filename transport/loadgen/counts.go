package loadgen

import (
	"cmp"
	"slices"

	"github.com/shallotstep/shallotstep/state"
)

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
	case !r.cancellation.made:
		return
	case r.cancellation.failure != nil:
		s.Failed++
	case cancelled(&r.cancellation):
		s.Cancelled++
	default:
		s.TooLate++
	}
	s.Sent++
}
