package loadgen

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpclient"
	"github.com/shallotstep/shallotstep/transport/pause"
)

func testConfig(t *testing.T) Config {
	t.Helper()
	sizes, err := ParseSizes("2")
	if err != nil {
		t.Fatal(err)
	}
	mix, err := ParseMix("fixed", 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	return Config{
		Service: "bench-desk", Run: "t", JobsPerSecond: 20, Sizes: sizes, Mix: mix, Seed: 1,
		Length: Duration(5 * time.Second), Patience: Duration(10 * time.Second),
	}
}

// fakeEntry answers after the run time of a job's longest task, but not before
// stalledUntil. If hang is set, it never answers. corrupt changes the answer to the
// nth submission of a job, from 0.
type fakeEntry struct {
	stalledUntil time.Time
	hang         bool
	corrupt      func(id string, n int, a *api.Answer) *httpclient.Failure

	mu   sync.Mutex
	seen map[string]int // guarded by mu
}

func status() api.Status {
	return api.Status{Agents: []api.Agent{
		{Service: "bench-desk", Cores: 8, FreeCores: 8, Accepts: true},
		{Service: "bench-desk", Cores: 8, FreeCores: 8},
		{Service: "yard-logbook", Cores: 8, FreeCores: 8, Accepts: true},
	}}
}

func (e *fakeEntry) Status(context.Context) (api.Status, *httpclient.Failure) { return status(), nil }

func (e *fakeEntry) Cancel(_ context.Context, key state.JobKey) (api.Answer, *httpclient.Failure) {
	return api.Answer{ID: key.ID, Outcome: api.Outcome(state.Failed), Reason: state.ReasonCancelled}, nil
}

func (e *fakeEntry) Submit(ctx context.Context, s api.Submission) (api.Answer, *httpclient.Failure) {
	a, longest := correctAnswer(s.Job.Key.ID, s.Job.Tasks)
	wait := max(longest, time.Until(e.stalledUntil))
	if e.hang {
		wait = time.Hour
	}
	if err := pause.For(ctx, wait); err != nil {
		return api.Answer{}, &httpclient.Failure{Outcome: state.Unknown, Err: err}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seen == nil {
		e.seen = make(map[string]int)
	}
	n := e.seen[a.ID]
	e.seen[a.ID]++
	if e.corrupt == nil {
		return a, nil
	}
	return a, e.corrupt(a.ID, n, &a)
}

// correctAnswer returns the answer of a correct entry and the run time of the
// longest task.
func correctAnswer(id string, tasks []state.Task) (api.Answer, time.Duration) {
	a := api.Answer{ID: id, Outcome: api.Outcome(state.Complete), Stats: &api.Stats{}}
	longest := time.Duration(0)
	for _, t := range tasks {
		var work struct {
			WorkMS int64           `json:"work_ms"`
			Echo   json.RawMessage `json:"echo"`
		}
		if err := json.Unmarshal(t.Payload, &work); err != nil {
			panic(err)
		}
		a.Results = append(a.Results, work.Echo)
		longest = max(longest, time.Duration(work.WorkMS)*time.Millisecond)
	}
	return a, longest
}

// measureOne carries out a plan with one load.
func measureOne(ctx context.Context, c Config, entries ...Caller) (*Report, error) {
	m, err := Measure(ctx, &Plan{Loads: []Config{c}}, Target{Entries: [][]Caller{entries}})
	if err != nil {
		return nil, err
	}
	return m.Loads[0], nil
}

// singleLoadMeasurement returns a measurement with one load.
func singleLoadMeasurement(r *Report) *Measurement {
	m := &Measurement{Format: reportFormat, Plan: &Plan{Loads: []Config{r.Config}}, Loads: []*Report{r}}
	m.setPassed()
	return m
}

func run(t *testing.T, c Config, entries ...Caller) *Report {
	t.Helper()
	var r *Report
	synctest.Test(t, func(t *testing.T) {
		var err error
		if r, err = measureOne(context.Background(), c, entries...); err != nil {
			t.Fatal(err)
		}
	})
	return r
}

func (r *Report) check(name CheckName) Check {
	for _, c := range r.Checks {
		if c.Name == name {
			return c
		}
	}
	panic(name)
}

// An entry stalls for the first three seconds and then answers at once. A closed-loop
// load generator, which waits for an answer before it sends again, would send one
// job in that time, and its median would hide the stall. Here the response time of
// every job that was due during the stall must include its own wait.
func TestStallCountsForEveryJobDueDuringIt(t *testing.T) {
	is := is.New(t)
	c := testConfig(t)
	synctest.Test(t, func(t *testing.T) {
		stall := 3 * time.Second
		r, err := measureOne(context.Background(), c, &fakeEntry{stalledUntil: time.Now().Add(stall)})
		is.NoErr(err)
		waited := 0
		for _, row := range r.Rows {
			want := max(100*time.Millisecond, stall-row.Due.D())
			is.Equal(row.Response.D(), want) // measured from the time when it was due
			if row.Due.D() < stall {
				waited++
			}
		}
		is.True(waited > 40) // 20 a second for three seconds
		is.True(r.Ratio.Max > 25)
		is.True(r.Ratio.P50 > 3)
		is.Equal(r.SendLag.Max, 0.0)
	})
}

// An entry never answers. The run must end after its length and patience, and the
// outcome of the jobs must be unknown; they must not be missing from the report.
func TestRunEndsThoughEntryNeverAnswers(t *testing.T) {
	is := is.New(t)
	r := run(t, testConfig(t), &fakeEntry{hang: true})
	is.Equal(r.Elapsed.D(), 15*time.Second)
	is.Equal(r.Outcomes, []OutcomeCount{{"unknown", reasonUnanswered, r.Jobs}})
	is.Equal(r.Response.Count, int64(0))
}
