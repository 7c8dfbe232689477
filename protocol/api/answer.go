package api

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// Answer is the body of a 200: a complete job, a pending one, or what became
// of a cancelled one.
type Answer struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Reason is set on an answer to a cancellation only.
	Reason state.Reason `json:"reason,omitempty"`
	// Results are the tasks' results in task order, as the backend servers
	// returned them. They are set when Outcome is complete.
	Results []json.RawMessage `json:"results,omitempty"`
	Stats   *Stats            `json:"stats,omitempty"`
}

// Stats is state.Stats in milliseconds.
type Stats struct {
	LongestMS float64 `json:"longest_ms"`
	TotalMS   float64 `json:"total_ms"`
	CoreMS    float64 `json:"core_ms,omitempty"`
	ElapsedMS float64 `json:"elapsed_ms"`
}

// CancelledOf turns the answer to the cancellation of a job into its document.
func CancelledOf(a state.Answer) Answer {
	return Answer{ID: a.Key.ID, Outcome: Outcome(a.Outcome), Reason: a.Reason}
}

// AnswerOf turns a complete, pending or cancelled answer into its document.
// tasks is how many results make a complete answer, or negative where the
// asker doesn't know. It fails on an answer that would be partial.
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

// resultValue returns a result as JSON; a backend server that returns nothing
// returns null.
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
	return &Stats{LongestMS: fractionMS(s.Longest), TotalMS: fractionMS(s.Total), CoreMS: fractionMS(s.CoreTime), ElapsedMS: fractionMS(s.Elapsed)}
}

func fractionMS(d time.Duration) float64 {
	return float64(d.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}
