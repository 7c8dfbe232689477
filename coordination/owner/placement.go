package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// placement is the choice of an agent for one task.
type placement struct {
	node   string
	wait   time.Duration
	finish time.Duration
	// left is the share of the agent that stays free beside the task.
	left float64
	// rank is finish, and behind all others where the agent is a last resort.
	rank time.Duration
}

// Place chooses the agent on which a task ends first, among those that may have
// it, and books it there. It is false when there is none, or when the task would
// wait there longer than it may be bound for.
func (f *Fleet) Place(n Need, may func(node string) bool) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.chooseLocked(n, may)
	if !ok || !f.bindsLocked(n, p) {
		return "", false
	}
	f.agents[p.node].book(n)
	return p.node, true
}

// bindsLocked reports whether a task may be sent to where it waits for so long.
// One that yields goes only where there is room now.
func (f *Fleet) bindsLocked(n Need, p placement) bool {
	if n.Yields {
		return p.wait == 0 && p.left >= f.params.YieldReserve
	}
	return f.params.BindWithin == 0 || p.wait <= f.params.BindWithin
}

// Room returns the cores of the agents that may have a task, and how many times as much
// work comes there as from this process.
func (f *Fleet) Room(n Need, may func(node string) bool) (cores, times float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.looks += int64(len(f.agents))
	placers, sum, agents := 0, 0, 0
	for node, v := range f.agents {
		if v.takes(n) && may(node) {
			cores += float64(v.load.Capacity.CPUMillis) / 1000
			placers = max(placers, v.load.Placers)
			sum += v.load.Placers
			agents++
		}
	}
	// The most crowded agent counts, as far as this process orders no more than others.
	mean := max(float64(sum)/float64(max(agents, 1)), 1)
	return cores, float64(max(placers, 1)) * min(f.crowd.of(int(mean))/mean, 1)
}

// believed is what the agents that may have a task are believed to have free and in all, in
// cores, beyond what is under way to them, and the age of the oldest word of one of them.
func (f *Fleet) believed(now time.Duration, n Need, may func(node string) bool) (free, cores float64, news time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for node, v := range f.agents {
		if !v.takes(n) || !may(node) {
			continue
		}
		taken, _ := v.booked(now, f.params.Alike*f.crowd.of(v.load.Placers))
		free += float64(max(v.load.Free.CPUMillis-taken.CPUMillis, 0)) / 1000
		cores += float64(v.load.Capacity.CPUMillis) / 1000
		news = max(news, now-v.heard)
	}
	return free, cores, news
}

// Predict estimates when the last of a number of equal tasks would end if they
// were placed now. It is false when no agent is eligible.
func (f *Fleet) Predict(n Need, tasks int, may func(node string) bool) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var finish time.Duration
	// queued is what the tasks need that find no room now, rate that at which cores become
	// free, and ahead how long the work that waits already keeps them busy. On most days
	// there is room, and none of it is needed.
	var queued int64
	var rate float64
	var ahead time.Duration
	booked := make([]*agentView, 0, tasks)
	defer func() {
		for _, v := range booked {
			v.unbook()
		}
	}()
	for range tasks {
		p, ok := f.chooseLocked(n, may)
		if !ok {
			return 0, false
		}
		if p.wait > 0 && queued == 0 {
			rate, ahead = f.turnoverLocked(n, may)
		}
		if p.wait > 0 && rate > 0 {
			queued += n.Demand.CPUMillis
			pooled := ahead + time.Duration(f.params.PooledWait*float64(queued)/rate*float64(time.Second))
			p.finish -= max(0, p.wait-pooled)
		}
		finish = max(finish, p.finish)
		v := f.agents[p.node]
		v.book(n)
		booked = append(booked, v)
	}
	return finish, true
}

// turnoverLocked is the rate at which cores become free at the agents that may have a task,
// in thousandths of a core a second, and how long what waits there before it keeps all of
// them busy.
func (f *Fleet) turnoverLocked(n Need, may func(node string) bool) (rate float64, ahead time.Duration) {
	var before time.Duration
	var cores int64
	for node, v := range f.agents {
		if !v.takes(n) || !may(node) {
			continue
		}
		before += v.load.before(n.Slack)
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

func (f *Fleet) chooseLocked(n Need, may func(node string) bool) (placement, bool) {
	f.looks += int64(len(f.agents))
	var best placement
	found := false
	for node, v := range f.agents {
		if !v.takes(n) || !may(node) {
			continue
		}
		p := f.predictLocked(node, v, n)
		p.rank = p.finish
		if slices.Contains(n.Avoid, node) || n.Now-v.heard > f.params.StaleLoad {
			p.rank += lastResort
		}
		if n.Caution != worker.NoIsolation {
			p.rank += v.company(p)
		}
		if !found || p.rank < best.rank {
			best, found = p, true
		}
	}
	return best, found
}

// fullestRank puts an agent whose worker is full behind an empty one, for a suspect. It is
// more than the waits differ by, so that the fewest others run beside it.
const fullestRank = time.Second

// company ranks an agent for a suspect by what runs there: other suspects, which are still
// better than an agent whose server was lost under it, or how much.
func (v *agentView) company(p placement) time.Duration {
	rank := time.Duration((1 - p.left) * float64(fullestRank))
	if v.load.Suspects > 0 || slices.ContainsFunc(v.pending, func(o pendingOrder) bool { return o.suspect }) {
		rank += lastResort / 2
	}
	return rank
}

// takes reports whether an agent may get a task now.
func (v *agentView) takes(n Need) bool { return v.serves() && !v.retired && v.load.eligible(n) }

// serves reports whether new work may be started at an agent.
func (v *agentView) serves() bool { return v.load.Accepts && !v.drained }

// isDrained reports whether an agent's failure domain is drained, by what this process or
// the agent knows.
func (v *agentView) isDrained() bool { return v.drained || v.load.Drained }

// DrainedOnly reports whether a task would find an agent if no failure domain were drained.
func (f *Fleet) DrainedOnly(n Need, may func(node string) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := false
	for node, v := range f.agents {
		if v.takes(n) && may(node) {
			return false
		}
		found = found || v.isDrained() && v.load.eligible(n)
	}
	return found
}

func (l *AgentLoad) eligible(n Need) bool {
	if l.Service != n.Service || !n.Demand.Fits(l.Capacity) {
		return false
	}
	if len(n.Domains) > 0 && !slices.Contains(n.Domains, l.Domain) {
		return false
	}
	return n.Label == "" || slices.Contains(l.Labels, n.Label)
}

// lastResort puts an agent behind all others.
const lastResort = time.Minute

// predictLocked estimates how long a task would wait at an agent and when it
// would end.
func (f *Fleet) predictLocked(node string, v *agentView, n Need) placement {
	taken, work := v.booked(n.Now, f.params.Alike*f.crowd.of(v.load.Placers))
	free := v.load.Free.Minus(taken)
	run := time.Duration(float64(n.Estimate) * max(1, v.load.Slowdown))
	if n.Rack != "" && !slices.Contains(v.load.Labels, n.Rack) {
		run = time.Duration(float64(run) * f.remoteFactor)
	}
	p := placement{node: node}
	cores := max(v.load.Capacity.CPUMillis, 1)
	before := v.load.before(n.Slack)
	if before > 0 || !n.Demand.Fits(free) {
		p.wait = (before+work)*1000/time.Duration(cores) + v.load.Turnover
	}
	p.left = float64(free.CPUMillis-n.Demand.CPUMillis) / float64(cores)
	p.finish = p.wait + run
	return p
}

// booked is what is taken to be under way to an agent beyond its last news, where each
// order stands for so many. The tasks of one job are placed at one time, and no other
// process has that job.
func (v *agentView) booked(now time.Duration, each float64) (taken job.Demand, work time.Duration) {
	others := max(1, each)
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
