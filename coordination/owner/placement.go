package owner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// placement is a possible agent for one task, with the predicted wait and end.
type placement struct {
	node   string
	wait   time.Duration
	finish time.Duration
	// freeShare is the share of the agent's cores that stays free beside the task.
	freeShare float64
	// rank is finish plus the penalties of agents that are to be chosen after others.
	rank time.Duration
	// tier and shortest are set while the servers' speeds differ. shortest is the shortest run time at
	// the agents that may have the task, other than those of the last resort.
	tier     tier
	shortest time.Duration
}

// Place chooses the agent on which a task ends first, among those that may have it, and adds the
// task to the agent's pending orders. It returns false if no agent is eligible, or if the task
// would have to wait too long at the chosen one.
func (f *Fleet) Place(n PlacementRequest, allowed func(node string) bool) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.chooseLocked(n, allowed)
	if !ok || !f.withinWaitLimitLocked(n, p) {
		return "", false
	}
	if f.byTiersLocked(n) {
		f.placed[p.tier]++
	}
	f.agents[p.node].addPending(n)
	return p.node, true
}

// withinWaitLimitLocked reports whether a task may be sent to an agent with the predicted wait. A
// late task is sent only where there is free capacity now.
func (f *Fleet) withinWaitLimitLocked(n PlacementRequest, p placement) bool {
	if f.mayWaitForFasterLocked(n, p) {
		return false
	}
	if n.Late {
		return p.wait == 0 && p.freeShare >= f.params.LateReserve
	}
	return f.params.MaxPlacementWait == 0 || p.wait <= f.params.MaxPlacementWait
}

// EligibleCapacity returns the total cores of the agents that may have a task, and the ratio of all
// work placed there to that of this process.
func (f *Fleet) EligibleCapacity(n PlacementRequest, allowed func(node string) bool) (cores, ratio float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.examined += int64(len(f.agents))
	placers, sum, agents := 0, 0, 0
	for _, v := range f.ordered {
		if v.canTake(n) && allowed(v.node) {
			cores += v.speed * float64(v.load.Capacity.CPUMillis) / 1000
			placers = max(placers, v.load.Placers)
			sum += v.load.Placers
			agents++
		}
	}
	// The agent with the most placers decides, scaled down if this process sends more orders than
	// the others.
	mean := max(float64(sum)/float64(max(agents, 1)), 1)
	return cores, float64(max(placers, 1)) * min(f.orderRatio.estimate(int(mean))/mean, 1)
}

// estimatedCapacity returns the estimated free cores, less pending orders, and the total cores of
// the agents that may have a task, and the age of the oldest load among them.
func (f *Fleet) estimatedCapacity(now time.Duration, n PlacementRequest, allowed func(node string) bool) (free, cores float64, loadAge time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.ordered {
		if !v.canTake(n) || !allowed(v.node) {
			continue
		}
		pending, _ := v.pendingDemand(now, f.orderOverlapLocked(n.Service)*f.orderRatio.estimate(v.load.Placers))
		free += float64(max(v.load.Free.CPUMillis-pending.CPUMillis, 0)) / 1000
		cores += float64(v.load.Capacity.CPUMillis) / 1000
		loadAge = max(loadAge, now-v.updatedAt)
	}
	return free, cores, loadAge
}

// Predict estimates when the last of a number of equal tasks would end if they were placed now. It
// returns false if no agent is eligible.
func (f *Fleet) Predict(n PlacementRequest, tasks int, allowed func(node string) bool) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var finish time.Duration
	// queued is the demand of the tasks that find no free capacity now, rate the rate at which
	// cores become free, and ahead how long the work that waits already keeps them busy. Usually
	// there is free capacity and none of them is needed.
	var queued int64
	var rate float64
	var ahead time.Duration
	placed := make([]*agentView, 0, tasks)
	defer func() {
		for _, v := range placed {
			v.removeLastPending()
		}
	}()
	for range tasks {
		p, ok := f.chooseLocked(n, allowed)
		if !ok {
			return 0, false
		}
		if p.wait > 0 && queued == 0 {
			rate, ahead = f.coreReleaseRateLocked(n, allowed)
		}
		if p.wait > 0 && rate > 0 {
			queued += n.Demand.CPUMillis
			pooled := ahead + time.Duration(f.params.PooledWaitFactor*float64(queued)/rate*float64(time.Second))
			excess := max(0, p.wait-pooled)
			p.finish -= excess
			p.wait -= excess
		}
		finish = max(finish, f.admissionFinishLocked(n, p))
		v := f.agents[p.node]
		v.addPending(n)
		placed = append(placed, v)
	}
	return finish, true
}

// coreReleaseRateLocked returns the rate at which cores become free at the agents that may have a
// task, in thousandths of a core per second, and how long the work that waits there before the task
// keeps all of them busy.
func (f *Fleet) coreReleaseRateLocked(n PlacementRequest, allowed func(node string) bool) (rate float64, ahead time.Duration) {
	var before time.Duration
	var cores int64
	for _, v := range f.ordered {
		if !v.canTake(n) || !allowed(v.node) {
			continue
		}
		if f.byTiersLocked(n) && v.runTime(n.Estimate) > n.Slack+n.Estimate {
			continue // the tasks don't wait for a server on which they are late
		}
		before += v.load.backlogBefore(n.Slack)
		cores += v.load.Capacity.CPUMillis
		if v.load.Turnover <= 0 {
			continue
		}
		used := float64(v.load.Capacity.CPUMillis - v.load.Free.CPUMillis)
		running := used / float64(max(n.Demand.CPUMillis, 1))
		rate += used / (v.load.Turnover.Seconds() * (running + 1))
	}
	return rate, before * 1000 / time.Duration(max(cores, 1))
}

// chooseLocked returns the best placement of a task, chosen at random among equal ones. If every
// process chose the same one, their tasks would wait for each other there.
func (f *Fleet) chooseLocked(n PlacementRequest, allowed func(node string) bool) (placement, bool) {
	if f.byTiersLocked(n) {
		return f.chooseBySpeedLocked(n, allowed)
	}
	f.examined += int64(len(f.agents))
	var best bestPlacement
	for _, v := range f.ordered {
		if !v.canTake(n) || !allowed(v.node) {
			continue
		}
		p := f.predictLocked(v, n)
		p.rank = p.finish
		if f.isLastResortLocked(v, n) {
			p.rank += lastResortPenalty
		}
		if n.Isolation != worker.NoIsolation {
			p.rank += v.isolationPenalty(p)
		}
		best.offer(p, f.rand)
	}
	return best.placement, best.equal > 0
}

// bestPlacement is the best of the placements that were offered. Each of equal ones is chosen with
// the same probability.
type bestPlacement struct {
	placement
	// equal is the number of placements that are as good.
	equal int
}

func (b *bestPlacement) offer(p placement, r *rand.Rand) {
	switch {
	case b.equal == 0 || p.isBetter(&b.placement):
		b.placement, b.equal = p, 1
	case !b.placement.isBetter(&p):
		b.equal++
		if r.IntN(b.equal) == 0 {
			b.placement = p
		}
	}
}

// isBetter reports whether a placement is in a lower tier than another one, or has the lower rank in
// the same tier.
func (p *placement) isBetter(other *placement) bool {
	return p.tier < other.tier || p.tier == other.tier && p.rank < other.rank
}

// isLastResortLocked reports whether an agent is chosen for a task only if there is no other: the
// task has failed there, nothing has been heard of the agent for long, or what is heard lacks an
// order that was sent long ago, so that orders to it may be lost.
func (f *Fleet) isLastResortLocked(v *agentView, n PlacementRequest) bool {
	longAgo := n.Now - f.params.StaleLoadAge
	return slices.Contains(n.Avoid, v.node) || v.updatedAt < longAgo || len(v.pending) > 0 && v.pending[0].at < longAgo
}

// fullAgentPenalty ranks an agent whose worker is full behind an empty one, for a suspect. It is
// more than the waits differ by, so that a suspect runs beside as few others as possible.
const fullAgentPenalty = time.Second

// isolationPenalty ranks an agent for a suspect by how much runs there and whether that includes
// other suspects. An agent with other suspects is still better than one whose server was lost under
// the task.
func (v *agentView) isolationPenalty(p placement) time.Duration {
	rank := time.Duration((1 - p.freeShare) * float64(fullAgentPenalty))
	if v.load.Suspects > 0 || slices.ContainsFunc(v.pending, func(o pendingOrder) bool { return o.suspect }) {
		rank += lastResortPenalty / 2
	}
	return rank
}

// canTake reports whether an agent may get a task now.
func (v *agentView) canTake(n PlacementRequest) bool {
	return v.acceptsWork() && !v.retired && v.load.eligible(n)
}

// acceptsWork reports whether new work may be started at an agent.
func (v *agentView) acceptsWork() bool { return v.load.Accepts && !v.drained }

// isDrained reports whether this process or the agent knows that the agent's failure domain is
// drained.
func (v *agentView) isDrained() bool { return v.drained || v.load.Drained }

// OnlyDrainedEligible reports whether agents could have a task but all of them are in drained
// failure domains.
func (f *Fleet) OnlyDrainedEligible(n PlacementRequest, allowed func(node string) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := false
	for _, v := range f.ordered {
		if v.canTake(n) && allowed(v.node) {
			return false
		}
		found = found || v.isDrained() && v.load.eligible(n)
	}
	return found
}

func (l *AgentLoad) eligible(n PlacementRequest) bool {
	if l.Service != n.Service || !n.Demand.Fits(l.Capacity) {
		return false
	}
	if len(n.Domains) > 0 && !slices.Contains(n.Domains, l.Domain) {
		return false
	}
	return n.Label == "" || slices.Contains(l.Labels, n.Label)
}

// lastResortPenalty ranks an agent behind all others.
const lastResortPenalty = time.Minute

// predictLocked estimates how long a task would wait at an agent and when it would end.
func (f *Fleet) predictLocked(v *agentView, n PlacementRequest) placement {
	taken, work := v.pendingDemand(n.Now, f.orderOverlapLocked(n.Service)*f.orderRatio.estimate(v.load.Placers))
	free := v.load.Free.Minus(taken)
	run := v.runTime(time.Duration(float64(n.Estimate) * max(1, v.load.Slowdown)))
	if n.Rack != "" && !slices.Contains(v.load.Labels, n.Rack) {
		run = time.Duration(float64(run) * f.remoteFactor)
	}
	p := placement{node: v.node}
	cores := max(v.load.Capacity.CPUMillis, 1)
	before := v.load.backlogBefore(n.Slack)
	if before > 0 || !n.Demand.Fits(free) {
		p.wait = (before+work)*1000/time.Duration(cores) + v.load.Turnover
	}
	p.freeShare = float64(free.CPUMillis-n.Demand.CPUMillis) / float64(cores)
	p.finish = p.wait + run
	return p
}

// pendingDemand returns the demand and the core time of the orders that are estimated to be on
// their way to an agent since its last load, where each pending order of this process stands for a
// number of orders of all processes. Orders placed at the same time as this one count once: they
// are tasks of the same job, which no other process has.
func (v *agentView) pendingDemand(now time.Duration, ordersPerOwn float64) (taken job.Demand, work time.Duration) {
	others := max(1, ordersPerOwn)
	for i := range v.pending {
		p := &v.pending[i]
		times := others
		if p.at == now {
			times = 1
		}
		taken = taken.Plus(p.demand.Times(times))
		work += time.Duration(times * float64(p.work))
	}
	return taken, work
}
