package owner

import (
	"math"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
)

// tier ranks the agents for a task while the servers' speeds differ. An agent of a lower tier is
// chosen before all of higher ones.
type tier uint8

const (
	// roomTier: there is room now and the task ends in time, with a margin for a wrong estimate.
	roomTier tier = iota
	// reservedTier is the same on a server that waiting tasks need, which are in time on no slower
	// one.
	reservedTier
	// shortWaitTier: the task waits at most MaxPlacementWait and ends in time with the margin.
	shortWaitTier
	// noMarginTier: the same without the margin.
	noMarginTier
	// lateTier: the task is late, or it waits longer and ends in time.
	lateTier
	// lastResortTier: the task waits longer and is late, or the agent is to be chosen after all others.
	lastResortTier
	numTiers
)

// tierNames are the labels of the tiers in metrics.
var tierNames = [numTiers]string{"room", "reserved", "short_wait", "no_margin", "late", "last_resort"}

const (
	// estimateMargin is the share of a task's run time by which it has to be predicted to end
	// before it is due.
	estimateMargin = 0.1
	// widthMargin is added to it for each doubling of the job's tasks, because a job ends with its
	// last task.
	widthMargin = 0.02
)

// drawnOverlap is Params.OrderOverlap while agents are drawn: others draw too, so that few of their
// orders go where those of this process went.
const drawnOverlap = 0.1

// orderOverlapLocked returns the share of other processes' orders that is assumed to have gone where
// own ones went, among the agents of a service.
func (f *Fleet) orderOverlapLocked(service string) float64 {
	if f.unevenSpeedsLocked(service) {
		return min(f.params.OrderOverlap, drawnOverlap)
	}
	return f.params.OrderOverlap
}

// candidate is an agent of the best tier, with the sum of the weights up to it.
type candidate struct {
	placement
	sum float64
}

// chooseBySpeedLocked returns the placement of a task in the lowest tier. With room now, the agent is
// drawn at random with weights by free room: other processes draw at the same time by loads that are
// as old, and would collide on the fastest server. Otherwise the one where it ends first is chosen.
func (f *Fleet) chooseBySpeedLocked(n PlacementRequest, allowed func(node string) bool) (placement, bool) {
	f.examined += int64(len(f.agents))
	f.candidates = f.candidates[:0]
	var best bestPlacement
	shortest := time.Duration(math.MaxInt64)
	for _, v := range f.ordered {
		if !v.canTake(n) || !allowed(v.node) {
			continue
		}
		p := f.predictLocked(v, n)
		p.rank = p.finish
		if f.isLastResortLocked(v, n) {
			p.rank += lastResortPenalty
			p.tier = lastResortTier
		} else {
			shortest = min(shortest, p.finish-p.wait)
			p.tier = f.tierLocked(v, n, p)
		}
		if p.tier == roomTier {
			f.addCandidateLocked(v, n, p)
			continue
		}
		best.offer(p, f.rand)
	}
	chosen, found := best.placement, best.equal > 0
	if len(f.candidates) > 0 {
		chosen, found = f.drawLocked(), true
	}
	chosen.shortest = shortest
	return chosen, found
}

// tierLocked returns the tier of an agent for a task.
func (f *Fleet) tierLocked(v *agentView, n PlacementRequest, p placement) tier {
	left := n.Slack + n.Estimate
	run := p.finish - p.wait
	longest := f.params.MaxPlacementWait
	if n.Late {
		longest = 0
	}
	waitsLonger := p.wait > longest && f.params.MaxPlacementWait > 0 || n.Late && p.freeShare < f.params.LateReserve
	switch {
	case p.finish > left && waitsLonger:
		return lastResortTier
	case p.finish > left || waitsLonger:
		return lateTier
	case p.finish+time.Duration(n.margin()*float64(run)) > left:
		return noMarginTier
	case p.wait > 0:
		return shortWaitTier
	case n.ReservedSpeed > 0 && v.speed >= n.ReservedSpeed:
		return reservedTier
	}
	return roomTier
}

// margin returns the share of a task's run time by which it should end before it is due.
func (n *PlacementRequest) margin() float64 {
	return estimateMargin + widthMargin*math.Log2(float64(max(n.Tasks, 1)))
}

// addCandidateLocked adds an agent with a weight by the number of tasks that still fit.
func (f *Fleet) addCandidateLocked(v *agentView, n PlacementRequest, p placement) {
	weight := v.tasksThatFit(n, p)
	if k := len(f.candidates); k > 0 {
		weight += f.candidates[k-1].sum
	}
	f.candidates = append(f.candidates, candidate{placement: p, sum: weight})
}

func (f *Fleet) drawLocked() placement {
	x := f.rand.Float64() * f.candidates[len(f.candidates)-1].sum
	for i := range f.candidates {
		if x < f.candidates[i].sum {
			return f.candidates[i].placement
		}
	}
	return f.candidates[len(f.candidates)-1].placement
}

// hasRoomInTime reports whether the agents on which a step's tasks would be in time have room for all
// of them now.
func (f *Fleet) hasRoomInTime(n PlacementRequest, allowed func(node string) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.byTiersLocked(n) {
		return false
	}
	fit := 0.0
	for _, v := range f.ordered {
		if !v.canTake(n) || !allowed(v.node) {
			continue
		}
		if p := f.predictLocked(v, n); p.wait == 0 && f.tierLocked(v, n, p) < lateTier {
			fit += math.Floor(v.tasksThatFit(n, p))
		}
	}
	return fit >= float64(n.Tasks)
}

// tasksThatFit returns how many tasks fit at an agent, including the one that is placed.
func (v *agentView) tasksThatFit(n PlacementRequest, p placement) float64 {
	return 1 + p.freeShare*float64(v.load.Capacity.CPUMillis)/float64(max(n.Demand.CPUMillis, 1))
}

// PlacementsByTier returns how many tasks were placed in each tier while the servers' speeds
// differed.
func (f *Fleet) PlacementsByTier() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int64, numTiers)
	for i, n := range f.placed {
		out[tierNames[i]] = n
	}
	return out
}

// byTiersLocked reports whether a task is placed by tiers. A suspect goes where it endangers the fewest
// others.
func (f *Fleet) byTiersLocked(n PlacementRequest) bool {
	return f.unevenSpeedsLocked(n.Service) && n.Isolation == worker.NoIsolation
}

// mayWaitForFasterLocked reports whether a task that is in time on no server with room now can still
// be in time on another one.
func (f *Fleet) mayWaitForFasterLocked(n PlacementRequest, p placement) bool {
	return f.byTiersLocked(n) && !n.Late && n.isLateAfter(p.finish) && !n.isLateAfter(p.shortest)
}

// isLateAfter reports whether a task is late if it ends after a time from now.
func (n *PlacementRequest) isLateAfter(finish time.Duration) bool { return finish > n.Slack+n.Estimate }

// admissionFinishLocked returns when a task ends as admission sees it. Extra run time on a slow server
// counts as a wait only if it makes the task late.
func (f *Fleet) admissionFinishLocked(n PlacementRequest, p placement) time.Duration {
	if !f.byTiersLocked(n) || n.isLateAfter(p.finish) {
		return p.finish
	}
	return p.wait + n.Estimate
}
