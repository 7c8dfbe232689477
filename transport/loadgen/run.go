package loadgen

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpclient"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// Caller is a client of one entry. It is implemented by *httpclient.Client.
type Caller interface {
	Submit(ctx context.Context, s api.Submission) (api.Answer, *httpclient.Failure)
	Cancel(ctx context.Context, key state.JobKey) (api.Answer, *httpclient.Failure)
	Status(ctx context.Context) (api.Status, *httpclient.Failure)
}

// Target is the system under test.
type Target struct {
	// Entries has one list per load of the plan, with a client for each entry.
	Entries [][]Caller
	// Backends are clients for the backend servers of the plan, in the same
	// order. If there are none, starts are not counted.
	Backends []Backend
}

// record is a job and the replies to its calls.
type record struct {
	plannedJob
	first        reply
	second       reply
	cancellation reply
	// awaitingAnswer is true while the first submission has been sent and not
	// been answered.
	awaitingAnswer atomic.Bool
	// cancelledByStep is true if a step has cancelled the job.
	cancelledByStep atomic.Bool
}

// reply is the result of one call. Times are from the start of the run.
type reply struct {
	// made is true if the call was made.
	made    bool
	due     time.Duration
	sent    time.Duration
	done    time.Duration
	answer  api.Answer
	failure *httpclient.Failure
}

// call makes one call to an entry.
type call func(ctx context.Context) (api.Answer, *httpclient.Failure)

// event is an action that is due at a time from the start of the run.
type event struct {
	due time.Duration
	do  func(ctx context.Context, begin time.Time)
}

// loadRun is the execution of one load of a plan.
type loadRun struct {
	config  *Config
	entries []Caller
	size    systemSize
	jobs    []plannedJob
	records []record
}

// Measure carries out a plan and returns the result. Jobs are sent to the entries
// round-robin, as by a load balancer. The run ends at the latest after the plan's
// length and patience; the outcome of calls without an answer is then unknown. An
// error means that no job was sent.
func Measure(ctx context.Context, p *Plan, t Target) (*Measurement, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	if len(t.Entries) != len(p.Loads) || len(t.Backends) != len(p.Backends) {
		return nil, errors.New("the target must have one list of entries per load and one client per backend server of the plan")
	}
	if err := checkReachable(ctx, t.Backends); err != nil {
		return nil, err
	}
	var loads []*loadRun
	for i := range p.Loads {
		load, err := newLoadRun(ctx, &p.Loads[i], t.Entries[i])
		if err != nil {
			return nil, err
		}
		loads = append(loads, load)
	}
	runCtx, cancel := context.WithTimeout(ctx, p.length()+p.patience())
	defer cancel()
	steps := newStepRunner(p, t, loads)
	var events []event
	for _, load := range loads {
		events = append(events, load.events()...)
	}
	events = append(events, steps.events()...)
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.due, b.due) })
	elapsed := runEvents(runCtx, events)
	m := newMeasurement(p, loads, elapsed)
	m.Steps = steps.results()
	m.Starts = countStarts(context.WithoutCancel(ctx), t.Backends, p, m.Loads)
	m.setPassed()
	return m, nil
}

// newLoadRun measures the size of the system and draws the jobs.
func newLoadRun(ctx context.Context, c *Config, entries []Caller) (*loadRun, error) {
	if len(entries) == 0 {
		return nil, errors.New("a load needs at least one entry")
	}
	size, err := measureSystem(ctx, c.Service, entries[0])
	if err != nil {
		return nil, err
	}
	l := &loadRun{config: c, entries: entries, size: size, jobs: drawJobs(c, size.slots)}
	l.records = make([]record, len(l.jobs))
	for i := range l.jobs {
		l.records[i].plannedJob = l.jobs[i]
	}
	return l, nil
}

// events returns the calls of the load.
func (l *loadRun) events() []event {
	var out []event
	for i := range l.records {
		r := &l.records[i]
		s := r.submission(l.config)
		entry, otherEntry := l.entries[i%len(l.entries)], l.entries[(i+1)%len(l.entries)]
		submit := func(to Caller) call {
			return func(ctx context.Context) (api.Answer, *httpclient.Failure) { return to.Submit(ctx, s) }
		}
		out = append(out, event{r.due, func(ctx context.Context, begin time.Time) {
			r.awaitingAnswer.Store(true)
			r.first.do(ctx, begin, r.due, submit(entry))
			r.awaitingAnswer.Store(false)
		}})
		if r.resubmitAt > 0 {
			out = append(out, r.second.event(r.resubmitAt, submit(otherEntry)))
		}
		if r.cancelAt > 0 {
			out = append(out, r.cancellation.event(r.cancelAt, l.cancelCall(i)))
		}
	}
	return out
}

// cancelCall returns the call that cancels job i. It goes to another entry than the
// first submission if there is one.
func (l *loadRun) cancelCall(i int) call {
	otherEntry := l.entries[(i+1)%len(l.entries)]
	key := state.JobKey{Service: l.config.Service, ID: l.records[i].id}
	return func(ctx context.Context) (api.Answer, *httpclient.Failure) { return otherEntry.Cancel(ctx, key) }
}

// runEvents starts each event when it is due, without waiting for earlier ones. It
// returns the elapsed time when all have ended. Events that are due after ctx has
// ended are not started.
func runEvents(ctx context.Context, events []event) time.Duration {
	begin := time.Now()
	var wg conc.WaitGroup
	for i := range events {
		e := &events[i]
		if pause.For(ctx, e.due-time.Since(begin)) != nil {
			break
		}
		wg.Go(func() { e.do(ctx, begin) })
	}
	wg.Wait()
	return time.Since(begin)
}

// event returns the event that makes a call and stores its result in r.
func (r *reply) event(due time.Duration, c call) event {
	return event{due, func(ctx context.Context, begin time.Time) { r.do(ctx, begin, due, c) }}
}

// do makes a call and stores its result and times in r.
func (r *reply) do(ctx context.Context, begin time.Time, due time.Duration, c call) {
	r.made = true
	r.due = due
	r.sent = time.Since(begin)
	r.answer, r.failure = c(ctx)
	r.done = time.Since(begin)
}

// complete reports whether the caller received a complete answer.
func (r *reply) complete() bool { return r.made && r.failure == nil }

// response returns the response time. It is measured from the time when the call
// was due and not from when it was sent.
func (r *reply) response() time.Duration { return r.done - r.due }

// outcome returns the outcome of the job as known to the caller.
func (r *reply) outcome() state.Outcome {
	if r.failure != nil {
		return r.failure.Outcome
	}
	return state.Outcome(r.answer.Outcome)
}
