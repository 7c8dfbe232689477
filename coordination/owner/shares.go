package owner

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/shares"
	"github.com/shallotstep/shallotstep/state/job"
)

// Shares returns the book of shares, or nil if contended capacity isn't divided.
func (f *Fleet) Shares() *shares.Book { return f.shares }

// askShare asks whether a job may have capacity, or its queue is over its share.
func (f *Fleet) askShare(now time.Duration, spec *job.Spec, p *job.Policy, returned bool) shares.Verdict {
	if f.shares == nil {
		return shares.Verdict{}
	}
	j := f.shareJob(spec, p)
	j.Returned = returned
	return f.shares.Ask(now, j, f.serviceCapacity)
}

// grantShare counts an accepted job.
func (f *Fleet) grantShare(now time.Duration, spec *job.Spec, p *job.Policy) {
	if f.shares != nil {
		f.shares.Granted(now, f.shareJob(spec, p))
	}
}

func (f *Fleet) shareJob(spec *job.Spec, p *job.Policy) shares.Job {
	j := shares.Job{Service: p.Service, Queue: p.Queue, Priority: p.Priority}
	for i := range spec.Steps {
		st := &spec.Steps[i]
		n := PlacementRequest{Demand: st.Demand, Estimate: f.ExpectedRunTime(p.Queue, st.Estimate)}
		j.Work += coreTime(n) * time.Duration(st.Count)
	}
	return j
}

// serviceCapacity returns the agents of a service that take work. A core counts by the speed of its
// server, because work is estimated for a server of speed 1.
func (f *Fleet) serviceCapacity(service string) []shares.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]shares.Agent, 0, len(f.ordered))
	for _, v := range f.ordered {
		if v.acceptsWork() && !v.retired && v.load.Service == service {
			out = append(out, shares.Agent{
				Node: v.node, Placers: v.load.Placers,
				Cores: v.speed * float64(v.load.Capacity.CPUMillis) / 1000, Free: v.speed * float64(max(v.load.Free.CPUMillis, 0)) / 1000,
			})
		}
	}
	return out
}

// AgentsOfService returns the agents of a service that take work, sorted by name.
func (f *Fleet) AgentsOfService(service string) []string {
	agents := f.serviceCapacity(service)
	out := make([]string, len(agents))
	for i, a := range agents {
		out[i] = a.Node
	}
	return out
}
