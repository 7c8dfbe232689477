// Package clients serves the project's own interface at an entry: it turns
// submissions into jobs and what became of them into answers, keeps the
// operators' declarations in the platform's store, and tells what the entry
// knows of the system.
package clients

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/quota"
	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/httpapi"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// Entry is what takes jobs to their owners.
type Entry interface {
	Submit(ctx context.Context, id job.ID, spec *job.Spec, p *job.Policy) owner.Verdict
	Await(ctx context.Context, id job.ID) owner.Verdict
	Lookup(ctx context.Context, id job.ID) owner.Verdict
	Cancel(ctx context.Context, id job.ID) owner.Verdict
	Agents() []owner.AgentView
	// Capacities are what the known backend servers of a service have.
	Capacities(service string) []job.Demand
	Linked() bool
	// Drains are those in force, and Domains counts the agents of each failure domain.
	Drains() drains.State
	Domains() map[string]int
}

// Clients implements the interfaces of package httpapi.
type Clients struct {
	*Declarations
	// drains are those that are set at this interface; nil where they are set elsewhere.
	drains   *Drains
	entry    Entry
	name     string
	software string
	bookings *bookings
}

// New returns the clients' side of an entry. Quotas are shared by a number of
// entries. The drains are nil where operators set them elsewhere.
func New(e Entry, d *Declarations, drains *Drains, name, software string, entries int) *Clients {
	return &Clients{Declarations: d, drains: drains, entry: e, name: name, software: software, bookings: newBookings(entries)}
}

// askTimeout bounds a question that a client has set no limit for.
const askTimeout = 10 * time.Second

// Submit implements httpapi.Dispatcher.
func (c *Clients) Submit(ctx context.Context, s httpapi.Submission) state.Answer {
	key := s.Job.Key
	file, spec, ok := c.service(key.Service)
	if !ok {
		return refused(key, state.ReasonUnknownService, 0)
	}
	if c.tooLarge(&s.Job, spec) {
		return refused(key, state.ReasonNeverRunnable, 0)
	}
	if wait, ok := c.book(ctx, &s.Job, file); !ok {
		// An earlier attempt with the same ID may have been accepted.
		a := refused(key, state.ReasonQuota, wait)
		a.Outcome = c.known(ctx, key)
		return a
	}
	defer c.bookings.release(key)
	deadline := s.Deadline
	if deadline <= 0 {
		deadline = spec.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	id, what, how := jobID(key), specOf(&s.Job, s.Digest, spec), policyOf(&s.Job, file, deadline)
	v := c.entry.Submit(ctx, id, &what, &how)
	if v.Known {
		c.bookings.refund(key)
	}
	if v.Outcome != owner.OK {
		return failed(key, v)
	}
	if s.Async && !v.State.Final() {
		return state.Answer{Key: key, Outcome: state.Pending}
	}
	a := answerOf(key, c.entry.Await(ctx, id))
	a.Stats.CoreTime = coreTime(a, &s.Job)
	return a
}

// book takes a submission's tasks from its operator's quota, or says in how long there
// may be room. A repeat takes nothing: it joins a job that is there already.
func (c *Clients) book(ctx context.Context, j *state.Job, f *declaration.File) (time.Duration, bool) {
	limits := quota.Limits{InFlight: f.Quota.TasksInFlight, PerSecond: f.Quota.TasksPerSecond}
	wait, ok := c.bookings.take(bootclock.Now(), j.Key, f.Operator, limits, len(j.Tasks))
	if ok {
		return 0, true
	}
	if v := c.entry.Lookup(ctx, jobID(j.Key)); v.Outcome == owner.OK {
		c.bookings.join(j.Key)
		return 0, true
	}
	return wait, false
}

// known tells whether a job that is refused now may have been accepted before.
func (c *Clients) known(ctx context.Context, key state.JobKey) state.Outcome {
	if c.entry.Lookup(ctx, jobID(key)).Outcome == owner.Absent {
		return state.NotRun
	}
	return state.Unknown
}

// Query implements httpapi.Dispatcher.
func (c *Clients) Query(ctx context.Context, key state.JobKey) state.Answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return answerOf(key, c.entry.Lookup(ctx, jobID(key)))
}

// Cancel implements httpapi.Dispatcher.
func (c *Clients) Cancel(ctx context.Context, key state.JobKey) state.Answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return answerOf(key, c.entry.Cancel(ctx, jobID(key)))
}

// tooLarge reports whether no backend server of the service that the entry knows,
// linked or not, is large enough for one of the tasks, even empty. While it knows none of
// the service, it can't tell.
func (c *Clients) tooLarge(j *state.Job, s declaration.ServiceSpec) bool {
	rooms := c.entry.Capacities(s.Name)
	if len(rooms) == 0 {
		return false
	}
	return slices.ContainsFunc(j.Tasks, func(t state.Task) bool {
		return !slices.ContainsFunc(rooms, demandOf(&t).Fits)
	})
}

// Status implements httpapi.Status.
func (c *Clients) Status() api.Status {
	out := api.Status{Node: c.name, Software: c.software, Ready: c.Ready(), Declarations: c.Operators(), DrainedDomains: c.entry.Drains().Domains}
	now, drained := bootclock.Now(), c.entry.Drains()
	for _, a := range c.entry.Agents() {
		out.Agents = append(out.Agents, api.Agent{
			Name: a.Node, Domain: a.Load.Domain, Service: a.Load.Service,
			Cores: cores(a.Load.Capacity), FreeCores: cores(a.Load.Free),
			MemoryMB: a.Load.Capacity.MemoryMB, Accelerators: a.Load.Capacity.GPUs,
			Accepts: a.Load.Accepts, Drained: drained.Has(a.Load.Domain), WaitingMS: a.Load.Backlog.Milliseconds(),
			AgeMS: (now - a.Heard).Milliseconds(),
		})
	}
	return out
}

// Drains implements httpapi.Drainer.
func (c *Clients) Drains() []api.Drain {
	drained, agents := c.entry.Drains(), c.entry.Domains()
	names := slices.Concat(slices.Collect(maps.Keys(agents)), drained.Domains)
	slices.Sort(names)
	out := make([]api.Drain, 0, len(names))
	for _, name := range slices.Compact(names) {
		out = append(out, api.Drain{Domain: name, Drained: drained.Has(name), Agents: agents[name]})
	}
	return out
}

// SetDrain implements httpapi.Drainer. A name that nobody knows is most likely misspelt.
func (c *Clients) SetDrain(ctx context.Context, domain string, drained bool) state.ApplyResult {
	if c.drains == nil {
		return notApplied(0, state.ReasonDrainsElsewhere, "the drains of this system are set at its platform")
	}
	known := c.entry.Domains()
	if known[domain] == 0 && !c.entry.Drains().Has(domain) {
		names := strings.Join(slices.Sorted(maps.Keys(known)), ", ")
		return notApplied(0, state.ReasonUnknownDomain, fmt.Sprintf("failure domain %q has no agents; known are %s", domain, names))
	}
	return c.drains.Set(ctx, domain, drained)
}

// DrainHistory implements httpapi.Drainer.
func (c *Clients) DrainHistory(domain string) []api.DrainEntry {
	if c.drains == nil {
		return nil
	}
	return c.drains.History(domain)
}

// Ready reports whether the entry can serve: it has read the declarations and
// has a link to an agent.
func (c *Clients) Ready() bool { return c.Loaded() && c.entry.Linked() }

// Handler serves the interface over HTTP, with a registry of metrics of its own.
func (c *Clients) Handler() http.Handler {
	m := metrics.New()
	return httpapi.New(httpapi.Options{
		Dispatcher: c, Declarer: c, Drainer: c, Status: c, Spec: c.Spec, Ready: c.Ready, Registry: m.Registry, Refused: m.Refused,
	})
}
