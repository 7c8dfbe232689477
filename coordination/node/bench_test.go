package node

import (
	"testing"
	"time"
)

// BenchmarkIdleTick measures one tick of an agent that has nothing to do: at
// 200 ticks a second it is the floor of what a daemon costs.
func BenchmarkIdleTick(b *testing.B) {
	w := newWorld(nil, 1)
	h := w.addAgent("agent-1", "d1", 8)
	for i := range 2 {
		w.addAgent("agent-"+string(rune('2'+i)), "d"+string(rune('2'+i)), 8)
	}
	w.run(5 * time.Second)
	now := w.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		h.node.Tick(now)
	}
}
