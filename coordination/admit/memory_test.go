package admit

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRemembered reports what a remembered task costs once its result is
// no longer kept, in jobs of six tasks.
func BenchmarkRemembered(b *testing.B) {
	const tasks = 6
	t := newBench(Options{}, backend(8))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		t.handle(assign(fmt.Sprint("j", n), 0, 10, 0, 1, 2, 3, 4, 5))
		for _, s := range t.starts {
			t.finish(s.Task, "")
		}
		t.starts, t.reports = t.starts[:0], t.reports[:0]
		t.now = t.now.Add(time.Millisecond)
		n++
	}
	t.now = t.now.Add(2 * DefaultResultRetention)
	t.do(t.m.Announce(t.now, backend(8)))
	t.do(t.m.Tick(t.now))
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n*tasks), "bytes/task")
	runtime.KeepAlive(t)
}
