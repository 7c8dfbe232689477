package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// An entry runs best-effort jobs itself, in a shard of its own life: nothing of
// such a job is in the store, and its client's connection is lost with the entry
// anyway, so no other process can be lost with it.

// privateShard draws the number of the shard. Two lives that drew the same one
// would take each other's runs for their own; among 2^30 numbers the tens of
// lives that an agent remembers at a time never do.
func privateShard(shards int) int { return shards + 1 + rand.IntN(1<<30) }

// newEffort returns the shard for best-effort jobs of an entry's life.
func (e *Entry) newBestEffort() *core.Steps {
	s := owner.NewPrivate(bootclock.Now(), privateShard(e.settings.Shards()), core.OwnerBounds(e.settings), e.fleet)
	return core.NewSteps(s, e.links, e.metrics)
}

// tickLoop lets time pass in the entry's shard.
func (e *Entry) tickLoop(ctx context.Context) {
	t := time.NewTicker(core.TickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.bestEffort.Step(e.bestEffort.Tick)
		}
	}
}

// submitEffort runs a best-effort job to its end, or until its client has left.
func (e *Entry) submitBestEffort(ctx context.Context, id job.ID, spec *job.Spec, p *job.Policy) owner.Response {
	e.linkCapableAgents(ctx, spec, p)
	specWithTimeout := *spec
	specWithTimeout.ClientTimeout = clientTimeout(ctx, time.Now())
	verdicts := make(chan owner.Response, 1)
	e.bestEffort.Step(func(now time.Duration) owner.Effects {
		return e.bestEffort.Submit(now, id, specWithTimeout, *p, func(v owner.Response) {
			select {
			case verdicts <- v:
			default:
			}
		})
	})
	select {
	case v := <-verdicts:
		return v
	case <-ctx.Done():
		e.bestEffort.Step(func(now time.Duration) owner.Effects { return e.bestEffort.Abandon(now, id) })
		klog.V(1).InfoS("The client of a best-effort job waits no more", "id", id, "why", context.Cause(ctx))
		return timeLimitVerdict()
	}
}

const linkPollInterval = 5 * time.Millisecond

// cover has agents linked that offer what a job needs, if too few are, and waits for them.
// A subset is chosen without regard to labels, and the job would be refused though a
// backend server with its label stands idle.
func (e *Entry) linkCapableAgents(ctx context.Context, spec *job.Spec, p *job.Policy) {
	now := bootclock.Now()
	if !e.links.Need(now, spec, p) {
		return
	}
	e.links.Reconcile(now)
	for end := now + core.CoverWait; !(e.links.Settled() && e.hasCapableAgents(spec, p)) && bootclock.Now() < end && ctx.Err() == nil; {
		_ = pause.For(ctx, linkPollInterval)
	}
}

// offered reports whether each step of a job finds an agent that offers what it needs.
func (e *Entry) hasCapableAgents(spec *job.Spec, p *job.Policy) bool {
	for i := range spec.Steps {
		if st := &spec.Steps[i]; !e.fleet.Offers(p.Service, st.Label, st.Demand) {
			return false
		}
	}
	return true
}
