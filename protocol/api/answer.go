package api

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// Answer is the body of a response with status 200: a complete job, a pending
// job, or the result of a cancellation.
type Answer struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Reason is set only in the answer to a cancellation.
	Reason state.Reason `json:"reason,omitempty"`
	// Results holds one result per task in task order, as the backend servers
	// returned them. It is set only if Outcome is complete.
	Results []json.RawMessage `json:"results,omitempty"`
	Stats   *Stats            `json:"stats,omitempty"`
}

// Stats is state.Stats with its durations in milliseconds.
type Stats struct {
	LongestMS float64 `json:"longest_ms"`
	TotalMS   float64 `json:"total_ms"`
	CoreMS    float64 `json:"core_ms,omitempty"`
	ElapsedMS float64 `json:"elapsed_ms"`
}

// CancelledOf converts the answer to a successful cancellation. Its outcome is
// failed and its reason is cancelled.
func CancelledOf(a state.Answer) Answer {
	return Answer{ID: a.Key.ID, Outcome: Outcome(a.Outcome), Reason: a.Reason}
}

// AnswerOf converts the answer for a complete, pending or cancelled job. tasks is
// the number of results that a complete answer must have, or negative if it is
// unknown. AnswerOf returns an error for a complete answer that has no results,
// a number of results other than tasks, or a result that is not JSON.
func AnswerOf(a state.Answer, tasks int) (Answer, error) {
	out := Answer{ID: a.Key.ID, Outcome: Outcome(a.Outcome), Reason: a.Reason}
	if a.Outcome != state.Complete {
		return out, nil
	}
	if tasks >= 0 && len(a.Results) != tasks {
		return Answer{}, errors.Errorf("%d results for %d tasks", len(a.Results), tasks)
	}
	if len(a.Results) == 0 {
		return Answer{}, errors.New("no results")
	}
	for i, r := range a.Results {
		raw, err := resultValue(r)
		if err != nil {
			return Answer{}, errors.Wrapf(err, "task %d", i)
		}
		out.Results = append(out.Results, raw)
	}
	out.Stats = statsOf(a.Stats)
	return out, nil
}

// resultValue returns a result as JSON, with null for an empty result.
func resultValue(payload []byte) (json.RawMessage, error) {
	if len(payload) == 0 {
		return json.RawMessage("null"), nil
	}
	if !json.Valid(payload) {
		return nil, errors.New("the result is not JSON")
	}
	return payload, nil
}

// Encode returns the answer as JSON.
func (a Answer) Encode() ([]byte, error) { return marshal(a) }

func statsOf(s state.Stats) *Stats {
	return &Stats{LongestMS: floatMS(s.Longest), TotalMS: floatMS(s.Total), CoreMS: floatMS(s.CoreTime), ElapsedMS: floatMS(s.Elapsed)}
}

func floatMS(d time.Duration) float64 {
	return float64(d.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}
