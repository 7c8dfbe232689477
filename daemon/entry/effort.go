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
func (e *Entry) newEffort() *core.ShardDriver {
	s := owner.NewPrivate(bootclock.Now(), privateShard(e.settings.Shards()), core.OwnerBounds(e.settings), e.fleet)
	return core.NewShardDriver(s, e.links, e.metrics)
}

// tickLoop lets time pass in the entry's shard.
func (e *Entry) tickLoop(ctx context.Context) {
	t := time.NewTicker(core.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.effort.Step(e.effort.Tick)
		}
	}
}

// submitEffort runs a best-effort job to its end, or until its client has left.
func (e *Entry) submitEffort(ctx context.Context, id job.ID, spec *job.Spec, p *job.Policy) owner.Response {
	e.cover(ctx, spec, p)
	what := *spec
	what.ClientTimeout = patienceLeft(ctx, time.Now())
	got := make(chan owner.Response, 1)
	e.effort.Step(func(now time.Duration) owner.Effects {
		return e.effort.Submit(now, id, what, *p, func(v owner.Response) {
			select {
			case got <- v:
			default:
			}
		})
	})
	select {
	case v := <-got:
		return v
	case <-ctx.Done():
		e.effort.Step(func(now time.Duration) owner.Effects { return e.effort.Abandon(now, id) })
		klog.V(1).InfoS("The client of a best-effort job waits no more", "id", id, "why", context.Cause(ctx))
		return timedOut()
	}
}

const coverPoll = 5 * time.Millisecond

// cover has agents linked that offer what a job needs, if too few are, and waits for them.
// A subset is chosen without regard to labels, and the job would be refused though a
// backend server with its label stands idle.
func (e *Entry) cover(ctx context.Context, spec *job.Spec, p *job.Policy) {
	now := bootclock.Now()
	if !e.links.RecordNeed(now, spec, p) {
		return
	}
	e.links.Reconcile(now)
	for end := now + core.LinkWaitTimeout; !(e.links.AllWantedUp() && e.offered(spec, p)) && bootclock.Now() < end && ctx.Err() == nil; {
		_ = pause.For(ctx, coverPoll)
	}
}

// offered reports whether each step of a job finds an agent that offers what it needs.
func (e *Entry) offered(spec *job.Spec, p *job.Policy) bool {
	for i := range spec.Steps {
		if st := &spec.Steps[i]; !e.fleet.Offers(p.Service, st.Label, st.Demand) {
			return false
		}
	}
	return true
}
