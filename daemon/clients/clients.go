// Package clients implements the project's own HTTP interface at an entry. It
// converts submissions to jobs and owners' responses to answers, keeps the operators'
// declarations and drains in the platform's store, and reports the entry's view
// of the system.
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

// Entry forwards jobs to their owners and knows the agents.
type Entry interface {
	Submit(ctx context.Context, id job.ID, spec *job.Spec, p *job.Policy) owner.Response
	Await(ctx context.Context, id job.ID) owner.Response
	Lookup(ctx context.Context, id job.ID) owner.Response
	Cancel(ctx context.Context, id job.ID) owner.Response
	Agents() []owner.AgentView
	// Capacities returns the capacities of the known backend servers of a service.
	Capacities(service string) []job.Demand
	Linked() bool
	// Drains returns the drains in force, and Domains the number of agents in each
	// failure domain.
	Drains() drains.State
	Domains() map[string]int
}

// Clients implements the interfaces of package httpapi.
type Clients struct {
	*Declarations
	// drains are the drains that operators set at this interface. It is nil if they
	// are set elsewhere.
	drains       *Drains
	entry        Entry
	name         string
	software     string
	reservations *quotaReservations
}

// New returns the HTTP interface of an entry. entries is the number of entries that
// share the quotas. drains is nil if operators set drains elsewhere.
func New(e Entry, d *Declarations, drains *Drains, name, software string, entries int) *Clients {
	return &Clients{Declarations: d, drains: drains, entry: e, name: name, software: software, reservations: newQuotaReservations(entries)}
}

// queryTimeout bounds a query or a cancellation, for which clients set no deadline.
const queryTimeout = 10 * time.Second

// Submit implements httpapi.Dispatcher.
func (c *Clients) Submit(ctx context.Context, s httpapi.Submission) state.Answer {
	key := s.Job.Key
	file, spec, ok := c.service(key.Service)
	if !ok {
		return refusedAnswer(key, state.ReasonUnknownService, 0)
	}
	if c.exceedsAllServers(&s.Job, spec) {
		return refusedAnswer(key, state.ReasonNeverRunnable, 0)
	}
	if wait, ok := c.reserveQuota(ctx, &s.Job, file); !ok {
		// An earlier submission with the same ID may have been accepted.
		a := refusedAnswer(key, state.ReasonQuota, wait)
		a.Outcome = c.refusalOutcome(ctx, key)
		return a
	}
	defer c.reservations.release(key)
	deadline := s.Deadline
	if deadline <= 0 {
		deadline = spec.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	id, jobSpec, policy := jobID(key), specOf(&s.Job, s.Digest, spec), policyOf(&s.Job, file, deadline)
	v := c.entry.Submit(ctx, id, &jobSpec, &policy)
	if v.Known {
		c.reservations.refund(key)
	}
	if v.Outcome != owner.OK {
		return failureAnswer(key, v)
	}
	if s.Async && !v.State.Final() {
		return state.Answer{Key: key, Outcome: state.Pending}
	}
	a := answerOf(key, c.entry.Await(ctx, id))
	a.Stats.CoreTime = coreTime(a, &s.Job)
	return a
}

// reserveQuota reserves the quota of a submission's operator for its tasks. If the
// quota doesn't allow them, it returns false and the time after which it may. A
// resubmission of a known job uses no quota and is always accepted.
func (c *Clients) reserveQuota(ctx context.Context, j *state.Job, f *declaration.File) (time.Duration, bool) {
	limits := quota.Limits{InFlight: f.Quota.TasksInFlight, PerSecond: f.Quota.TasksPerSecond}
	wait, ok := c.reservations.reserve(bootclock.Now(), j.Key, f.Operator, limits, len(j.Tasks))
	if ok {
		return 0, true
	}
	if v := c.entry.Lookup(ctx, jobID(j.Key)); v.Outcome == owner.OK {
		c.reservations.join(j.Key)
		return 0, true
	}
	return wait, false
}

// refusalOutcome returns the outcome of a refused submission: NotRun if the job's owner
// doesn't have the job, and Unknown if an earlier submission of it may have been
// accepted.
func (c *Clients) refusalOutcome(ctx context.Context, key state.JobKey) state.Outcome {
	if c.entry.Lookup(ctx, jobID(key)).Outcome == owner.Absent {
		return state.NotRun
	}
	return state.Unknown
}

// Query implements httpapi.Dispatcher.
func (c *Clients) Query(ctx context.Context, key state.JobKey) state.Answer {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return answerOf(key, c.entry.Lookup(ctx, jobID(key)))
}

// Cancel implements httpapi.Dispatcher.
func (c *Clients) Cancel(ctx context.Context, key state.JobKey) state.Answer {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return answerOf(key, c.entry.Cancel(ctx, jobID(key)))
}

// exceedsAllServers reports whether one of the tasks exceeds the capacity of every
// known backend server of the service, linked or not. It returns false while the
// entry knows no backend server of the service.
func (c *Clients) exceedsAllServers(j *state.Job, s declaration.ServiceSpec) bool {
	capacities := c.entry.Capacities(s.Name)
	if len(capacities) == 0 {
		return false
	}
	return slices.ContainsFunc(j.Tasks, func(t state.Task) bool {
		return !slices.ContainsFunc(capacities, demandOf(&t).Fits)
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
			Speed: a.Speed, AgeMS: (now - a.UpdatedAt).Milliseconds(),
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

// SetDrain implements httpapi.Drainer. It refuses an unknown failure domain, whose name
// is most likely misspelt.
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

// Ready reports whether the entry can serve submissions: it has read a declaration
// and has a link to an agent.
func (c *Clients) Ready() bool { return c.Loaded() && c.entry.Linked() }

// Handler returns the HTTP handler of the interface. Each handler has its own
// metrics registry.
func (c *Clients) Handler() http.Handler {
	m := metrics.New()
	return httpapi.New(httpapi.Options{
		Dispatcher: c, Declarer: c, Drainer: c, Status: c, Spec: c.Spec, Ready: c.Ready, Registry: m.Registry, OnRefusal: m.Refused,
	})
}
