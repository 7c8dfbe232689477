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

// An entry owns its best-effort jobs itself, in a private shard of its incarnation.
// Nothing about such a job is in the store, and the client's connection breaks with the
// entry anyway. If another process owned the job, the loss of that process would lose
// the job as well.

// privateShard returns a random number for a private shard. Two incarnations with the same
// number would take each other's runs for their own. An agent remembers tens of
// incarnations at a time, which practically never draw the same of 2^30 numbers.
func privateShard(shards int) int { return shards + 1 + rand.IntN(1<<30) }

// newBestEffort returns the shard for the best-effort jobs of this incarnation.
func (e *Entry) newBestEffort() *core.ShardDriver {
	s := owner.NewPrivate(bootclock.Now(), privateShard(e.settings.Shards()), core.OwnerBounds(e.settings), e.fleet)
	return core.NewShardDriver(s, e.links, e.metrics)
}

// tickLoop runs the time-dependent steps of the private shard until ctx ends.
func (e *Entry) tickLoop(ctx context.Context) {
	t := time.NewTicker(core.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.bestEffort.Step(e.bestEffort.Tick)
			e.demand.Tick(bootclock.Now())
		}
	}
}

// submitBestEffort runs a best-effort job until it ends or its client stops waiting.
func (e *Entry) submitBestEffort(ctx context.Context, id job.ID, spec *job.Spec, p *job.Policy) owner.Response {
	e.linkCapableAgents(ctx, spec, p)
	specWithTimeout := *spec
	specWithTimeout.ClientTimeout = clientTimeout(ctx, time.Now())
	responses := make(chan owner.Response, 1)
	e.bestEffort.Step(func(now time.Duration) owner.Effects {
		return e.bestEffort.Submit(now, id, specWithTimeout, *p, func(v owner.Response) {
			select {
			case responses <- v:
			default:
			}
		})
	})
	select {
	case v := <-responses:
		return v
	case <-ctx.Done():
		e.bestEffort.Step(func(now time.Duration) owner.Effects { return e.bestEffort.Abandon(now, id) })
		klog.V(1).InfoS("The client of a best-effort job no longer waits", "id", id, "why", context.Cause(ctx))
		return timeLimitResponse()
	}
}

// linkPollInterval is the interval at which linkCapableAgents checks its links.
const linkPollInterval = 5 * time.Millisecond

// linkCapableAgents links more agents that can run a job if too few are linked, and waits a
// limited time for them. The subset is chosen without regard to labels, so the job could
// otherwise be refused although a backend server with its label is idle.
func (e *Entry) linkCapableAgents(ctx context.Context, spec *job.Spec, p *job.Policy) {
	now := bootclock.Now()
	if !e.links.RecordNeed(now, spec, p) {
		return
	}
	e.links.Reconcile(now)
	for end := now + core.NeedLinksTimeout; !(e.links.AllWantedUp() && e.hasCapableAgents(spec, p)) && bootclock.Now() < end && ctx.Err() == nil; {
		_ = pause.For(ctx, linkPollInterval)
	}
}

// hasCapableAgents reports whether each step of a job has a linked agent that can run
// it.
func (e *Entry) hasCapableAgents(spec *job.Spec, p *job.Policy) bool {
	for i := range spec.Steps {
		if st := &spec.Steps[i]; !e.fleet.Offers(p.Service, st.Label, st.Demand) {
			return false
		}
	}
	return true
}
