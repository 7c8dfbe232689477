package loadgen

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpclient"
)

// Caller is a client of one entry. *httpclient.Client is one.
type Caller interface {
	Submit(ctx context.Context, s api.Submission) (api.Answer, *httpclient.Failure)
	Cancel(ctx context.Context, key state.JobKey) (api.Answer, *httpclient.Failure)
	Status(ctx context.Context) (api.Status, *httpclient.Failure)
}

// record is a job and what came of it.
type record struct {
	planned
	first  reply
	second reply
	stop   reply
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

// event is one call that is due at a time.
type event struct {
	due  time.Duration
	call func(ctx context.Context) (api.Answer, *httpclient.Failure)
	into *reply
}

// Run puts the load on the entries and returns what came of it. Jobs go to the
// entries in turn, as a balancer would spread them. It ends at the latest when
// Length and Patience are over; calls that are open then count as unknown. An
// error means that no load was put on.
func Run(ctx context.Context, c Config, entries []Caller) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if len(entries) == 0 {
		return nil, errors.New("no entry")
	}
	size, err := sizeOf(ctx, c.Service, entries[0])
	if err != nil {
		return nil, err
	}
	jobs := newPlan(&c, size.slots)
	ctx, cancel := context.WithTimeout(ctx, c.Length.D()+c.Patience.D())
	defer cancel()
	records := make([]record, len(jobs))
	for i := range jobs {
		records[i].planned = jobs[i]
	}
	elapsed := carryOut(ctx, c.events(records, entries))
	return newReport(&c, size, jobs, records, elapsed), nil
}

// systemSize is how large the system is, by an entry's status.
type systemSize struct{ agents, slots int }

// sizeOf adds up the agents that serve the service.
func sizeOf(ctx context.Context, service string, entry Caller) (systemSize, error) {
	doc, f := entry.Status(ctx)
	if f != nil {
		return systemSize{}, errors.Errorf("the entry's status: %s", f)
	}
	var size systemSize
	for i := range doc.Agents {
		a := &doc.Agents[i]
		if slices.Contains(a.Services, service) && !a.Draining && !a.Ejected {
			size.agents++
			size.slots += a.Slots
		}
	}
	if size.slots == 0 {
		return size, errors.Errorf("the entry knows no slot of service %q", service)
	}
	return size, nil
}

// events returns every call of the run in the order in which they are due.
func (c *Config) events(records []record, entries []Caller) []event {
	var out []event
	for i := range records {
		r := &records[i]
		s := r.submission(c)
		here, there := entries[i%len(entries)], entries[(i+1)%len(entries)]
		submit := func(to Caller) func(context.Context) (api.Answer, *httpclient.Failure) {
			return func(ctx context.Context) (api.Answer, *httpclient.Failure) { return to.Submit(ctx, s) }
		}
		out = append(out, event{r.at, submit(here), &r.first})
		if r.again > 0 {
			out = append(out, event{r.again, submit(there), &r.second})
		}
		if r.cancel > 0 {
			call := func(ctx context.Context) (api.Answer, *httpclient.Failure) {
				return there.Cancel(ctx, s.Job.Key)
			}
			out = append(out, event{r.cancel, call, &r.stop})
		}
	}
	slices.SortStableFunc(out, func(a, b event) int { return cmp.Compare(a.due, b.due) })
	return out
}

// carryOut makes every call when it is due, whatever became of the ones before,
// and returns when all have ended and how long that took. Calls that are due
// after ctx has ended are not made.
func carryOut(ctx context.Context, events []event) time.Duration {
	begin := time.Now()
	var wg conc.WaitGroup
	for i := range events {
		e := &events[i]
		if httpclient.Sleep(ctx, e.due-time.Since(begin)) != nil {
			break
		}
		wg.Go(func() { e.make(ctx, begin) })
	}
	wg.Wait()
	return time.Since(begin)
}

func (e *event) make(ctx context.Context, begin time.Time) {
	e.into.made = true
	e.into.due = e.due
	e.into.sent = time.Since(begin)
	e.into.answer, e.into.failure = e.call(ctx)
	e.into.done = time.Since(begin)
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
