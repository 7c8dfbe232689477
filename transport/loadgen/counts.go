package loadgen

import (
	"cmp"
	"slices"

	"github.com/shallotstep/shallotstep/state"
)

// Resubmissions counts jobs that were submitted twice.
type Resubmissions struct {
	Sent int `json:"sent"`
	// Compared is the number of jobs for which neither outcome is unknown.
	Compared int `json:"compared"`
	// During is the number of second submissions that were sent before the first
	// one was answered.
	During int `json:"during"`
}

// Cancellations counts calls that cancel a job, by result.
type Cancellations struct {
	Sent      int `json:"sent"`
	Cancelled int `json:"cancelled"`
	// TooLate is the number of calls that were answered with another result of
	// the job.
	TooLate int `json:"too_late"`
	// Failed is the number of calls that were refused or got no answer.
	Failed int `json:"failed"`
}

// countOutcomes counts jobs by outcome and reason, the most frequent first.
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
