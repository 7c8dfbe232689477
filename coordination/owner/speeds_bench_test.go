package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// BenchmarkPlace measures the cost of a placement over 32 agents with room, with speeds that don't
// differ and that do.
func BenchmarkPlace(b *testing.B) {
	for _, speeds := range [][]float64{{1, 1, 1, 1}, {.6, 1, 1, 1.6}} {
		b.Run(fmt.Sprint(speeds), func(b *testing.B) {
			var all []float64
			for range 8 {
				all = append(all, speeds...)
			}
			f := newSpeedFleet(all...)
			n := f.request(60*time.Millisecond, 156*time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				f.mu.Lock()
				f.chooseLocked(n, anyAgent)
				f.mu.Unlock()
			}
		})
	}
}

// BenchmarkSubmitByTiersWhileFull measures the cost of a submission while all agents are full and
// their speeds differ.
func BenchmarkSubmitByTiersWhileFull(b *testing.B) {
	var speeds []float64
	for range 8 {
		speeds = append(speeds, .6, 1, 1, 1.6)
	}
	f := newSpeedFleet(speeds...)
	for i := range speeds {
		l := speedLoad(speeds[i], 0)
		l.Backlog = time.Second
		f.report(i, l)
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		spec := job.Spec{BestEffort: true, Steps: []job.Step{{Count: 8, Demand: job.Demand{CPUMillis: 1200, MemoryMB: 64}, Estimate: 60 * time.Millisecond}}}
		f.s.Submit(f.now, job.ID(fmt.Sprintf("x%015x", n)), spec, job.Policy{Queue: "q", Service: "desk", Slack: 1.6, Target: 60 * time.Millisecond}, func(Response) {})
	}
}
