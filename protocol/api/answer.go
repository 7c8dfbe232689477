package api

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// Answer is the body of a 200: a complete job, a pending one, or what became
// of a cancelled one.
type Answer struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Reason is set on an answer to a cancellation only.
	Reason state.Reason `json:"reason,omitempty"`
	// Started is how many tasks of a cancelled job were started. It is absent if
	// the answer is not from a home: an entry alone can't tell.
	Started *int `json:"tasks_started,omitempty"`
	// Results are the tasks' results in task order, as the backend servers
	// returned them. They are set when Outcome is complete.
	Results []json.RawMessage `json:"results,omitempty"`
	Stats   *Stats            `json:"stats,omitempty"`
}

// Stats is message.Stats with times in milliseconds.
type Stats struct {
	Messages int `json:"messages"`
	Wasted   int `json:"wasted"`
	// WastedByKind has the kinds that aren't zero, by message.Waste's names.
	WastedByKind map[string]int `json:"wasted_by_kind,omitempty"`
	LongestMS    float64        `json:"longest_ms"`
	TotalMS      float64        `json:"total_ms"`
	ElapsedMS    float64        `json:"elapsed_ms"`
}

// CancelledOf turns the answer to the cancellation of a job into its document.
// A home's answer has counted at least the message that brought the job.
func CancelledOf(a message.Answer) Answer {
	out := Answer{ID: a.Key.ID, Outcome: Outcome(a.Outcome), Reason: a.Reason}
	if a.Stats.Messages > 0 {
		out.Started = &a.Stats.Started
	}
	return out
}

// AnswerOf turns a complete, pending or cancelled answer into its document.
// tasks is how many results make a complete answer, or negative where the
// asker doesn't know. It fails on an answer that would be partial.
func AnswerOf(a message.Answer, tasks int) (Answer, error) {
	out := Answer{ID: a.Key.ID, Outcome: Outcome(a.Outcome), Reason: a.Reason}
	if a.Outcome != state.Complete {
		return out, nil
	}
	results, err := inOrder(a.Results, tasks)
	if err != nil {
		return Answer{}, err
	}
	out.Results = results
	out.Stats = statsOf(a.Stats)
	return out, nil
}

// inOrder returns the results in task order and fails unless every task has
// exactly one. A gap or a double here would hand the caller another task's
// result in silence; the check is enough because it is the last step before
// the bytes are written.
func inOrder(results []state.TaskResult, tasks int) ([]json.RawMessage, error) {
	if tasks >= 0 && len(results) != tasks {
		return nil, errors.Errorf("%d results for %d tasks", len(results), tasks)
	}
	if len(results) == 0 {
		return nil, errors.New("no results")
	}
	sorted := slices.Clone(results)
	slices.SortFunc(sorted, func(a, b state.TaskResult) int { return cmp.Compare(a.Index, b.Index) })
	out := make([]json.RawMessage, len(sorted))
	for i, r := range sorted {
		if r.Index != i {
			return nil, errors.Errorf("no single result for task %d", i)
		}
		if r.Err != "" {
			return nil, errors.Errorf("task %d failed: %s", i, r.Err)
		}
		raw, err := resultValue(r.Payload)
		if err != nil {
			return nil, errors.Wrapf(err, "task %d", i)
		}
		out[i] = raw
	}
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

func statsOf(s message.Stats) *Stats {
	out := &Stats{
		Messages:  s.Messages,
		Wasted:    s.Wasted,
		LongestMS: fractionMS(s.Longest),
		TotalMS:   fractionMS(s.Total),
		ElapsedMS: fractionMS(s.Elapsed),
	}
	for kind, n := range s.ByKind {
		if n > 0 {
			if out.WastedByKind == nil {
				out.WastedByKind = make(map[string]int)
			}
			out.WastedByKind[message.Waste(kind).String()] = int(n)
		}
	}
	return out
}

func fractionMS(d time.Duration) float64 {
	return float64(d.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}
