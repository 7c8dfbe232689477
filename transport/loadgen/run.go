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

// Caller is a client of one entry. *httpclient.Client is one.
type Caller interface {
	Submit(ctx context.Context, s api.Submission) (api.Answer, *httpclient.Failure)
	Cancel(ctx context.Context, key state.JobKey) (api.Answer, *httpclient.Failure)
	Status(ctx context.Context) (api.Status, *httpclient.Failure)
}

// Target is the system that a plan is carried out on.
type Target struct {
	// Entries has, for each load of the plan, a client of each entry.
	Entries [][]Caller
	// Backends are the plan's, in its order. Without any, starts are not counted.
	Backends []Backend
}

// record is a job and what came of it.
type record struct {
	plannedJob
	first        reply
	second       reply
	cancellation reply
	// waits says that the first submission was sent and has no answer.
	awaitingAnswer atomic.Bool
	// waved says that a step has cancelled it.
	cancelledByStep atomic.Bool
}

// reply is what one call brought. Times are from the start of the run.
type reply struct {
	made    bool
	due     time.Duration
	sent    time.Duration
	done    time.Duration
	answer  api.Answer
	failure *httpclient.Failure
}

// call is one call on an entry.
type call func(ctx context.Context) (api.Answer, *httpclient.Failure)

// event is one thing that is done at a time of the run.
type event struct {
	due time.Duration
	do  func(ctx context.Context, begin time.Time)
}

// traffic is one load of a plan on its way.
type loadRun struct {
	config  *Config
	entries []Caller
	size    systemSize
	jobs    []plannedJob
	records []record
}

// Measure carries out a plan and returns what came of it. Jobs go to the
// entries in turn, as a balancer would spread them. It ends at the latest when
// the plan's length and patience are over; calls that are open then count as
// unknown. An error means that no load was put on.
func Measure(ctx context.Context, p *Plan, t Target) (*Measurement, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	if len(t.Entries) != len(p.Loads) || len(t.Backends) != len(p.Backends) {
		return nil, errors.New("the target isn't the plan's")
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

func newLoadRun(ctx context.Context, c *Config, entries []Caller) (*loadRun, error) {
	if len(entries) == 0 {
		return nil, errors.New("no entry")
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

// events returns every call of the load.
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

// cancelCall cancels a job through the entry that it wasn't sent to, where there
// is another.
func (l *loadRun) cancelCall(i int) call {
	otherEntry := l.entries[(i+1)%len(l.entries)]
	key := state.JobKey{Service: l.config.Service, ID: l.records[i].id}
	return func(ctx context.Context) (api.Answer, *httpclient.Failure) { return otherEntry.Cancel(ctx, key) }
}

// carryOut does everything when it is due, whatever became of what was before,
// and returns when all has ended and how long that took. What is due after ctx
// has ended is not done.
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

func (r *reply) event(due time.Duration, c call) event {
	return event{due, func(ctx context.Context, begin time.Time) { r.do(ctx, begin, due, c) }}
}

func (r *reply) do(ctx context.Context, begin time.Time, due time.Duration, c call) {
	r.made = true
	r.due = due
	r.sent = time.Since(begin)
	r.answer, r.failure = c(ctx)
	r.done = time.Since(begin)
}

// complete says that the caller holds the whole answer.
func (r *reply) complete() bool { return r.made && r.failure == nil }

// response counts from when the call was due and not from when it was sent.
func (r *reply) response() time.Duration { return r.done - r.due }

// outcome is what the caller knows of its job.
func (r *reply) outcome() state.Outcome {
	if r.failure != nil {
		return r.failure.Outcome
	}
	return state.Outcome(r.answer.Outcome)
}
