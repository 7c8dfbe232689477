package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// fullFleet returns a shard of best-effort jobs with links to the given number of agents, all
// of them full, and the given number of waiting jobs of eight tasks each.
func fullFleet(agents, jobs int) (*Shard, *Fleet, time.Duration) {
	now := time.Hour
	f := NewFleet(1, DefaultParams(), 1)
	s := NewPrivate(now-time.Hour, 99, testBounds, f)
	capacity := job.Demand{CPUMillis: 16000, MemoryMB: 65536}
	load := AgentLoad{Service: "desk", Capacity: capacity, Accepts: true, Placers: 8, Turnover: 30 * time.Millisecond, Backlog: time.Second}
	for i := range load.Ahead {
		load.Ahead[i] = time.Second
	}
	for i := range agents {
		node := fmt.Sprintf("agent-%d", i)
		f.Linked(node)
		f.Update(now, node, load)
		claim, _, _ := s.Linked(now, node, 1)
		s.Claimed(now, node, worker.Claimed{Claim: claim})
	}
	for i := range jobs {
		spec := job.Spec{BestEffort: true, Steps: []job.Step{{Count: 8, Demand: job.Demand{CPUMillis: 1200, MemoryMB: 64}, Estimate: 60 * time.Millisecond}}}
		s.Submit(now, job.ID(fmt.Sprintf("%016x", i)), spec, job.Policy{Queue: "q", Service: "desk", Slack: 1000}, func(Response) {})
	}
	return s, f, now
}

// A burst fills all agents, and a hundred jobs of an entry wait. Some hundred times a second,
// each frame of each agent made the entry try to place every waiting task, which was more than
// its processor could do. It fell behind its frames, and more jobs waited, were refused or ended
// late, beside entries with none waiting, and it did not recover. A frame must cost one pass over
// the agents, however many tasks with the same placement key wait.
func TestFrameCostIsIndependentOfWaitingTasks(t *testing.T) {
	is := is.New(t)
	const agents = 38
	s, f, now := fullFleet(agents, 100)
	before := f.AgentsExamined()
	s.AgentsUpdated(now)
	is.Equal(f.AgentsExamined()-before, int64(agents))
}

// BenchmarkNewsWhileFull measures the cost of an agent's frame at an entry while all agents are
// full.
func BenchmarkNewsWhileFull(b *testing.B) {
	for _, jobs := range []int{1, 30, 100} {
		b.Run(fmt.Sprintf("%d jobs wait", jobs), func(b *testing.B) {
			s, _, now := fullFleet(38, jobs)
			b.ReportAllocs()
			for b.Loop() {
				s.AgentsUpdated(now)
			}
		})
	}
}

// BenchmarkSubmitWhileFull measures the cost of a submission while all agents are full.
func BenchmarkSubmitWhileFull(b *testing.B) {
	for _, jobs := range []int{1, 30, 100} {
		b.Run(fmt.Sprintf("%d jobs wait", jobs), func(b *testing.B) {
			s, _, now := fullFleet(38, jobs)
			spec := job.Spec{BestEffort: true, Steps: []job.Step{{Count: 8, Demand: job.Demand{CPUMillis: 1200, MemoryMB: 64}, Estimate: 60 * time.Millisecond}}}
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				s.Submit(now, job.ID(fmt.Sprintf("x%015x", n)), spec, job.Policy{Queue: "q", Service: "desk", Slack: 1.6, Target: 60 * time.Millisecond}, func(Response) {})
			}
		})
	}
}

// BenchmarkTickWhileShort measures the cost of deciding again on all waiting jobs.
func BenchmarkTickWhileShort(b *testing.B) {
	for _, jobs := range []int{30, 125, 1000} {
		b.Run(fmt.Sprintf("%d jobs wait", jobs), func(b *testing.B) {
			s, f, now := fullFleet(38, jobs)
			f.params.Shedding = true
			now += startPeriod + time.Second
			var fx Effects
			s.observeCapacityLocked(now, &fx)
			s.shed.capacity["desk"].Observe(now, 10000)
			b.ReportAllocs()
			for b.Loop() {
				var fx Effects
				s.observeCapacityLocked(now, &fx)
				s.shedLocked(now, &fx)
			}
			b.ReportMetric(float64(len(s.waiting.tasks)), "waiting")
		})
	}
}
