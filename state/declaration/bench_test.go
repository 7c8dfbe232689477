package declaration

import (
	"fmt"
	"os"
	"runtime"
	"testing"
)

// BenchmarkParse is what judging one apply costs every daemon.
func BenchmarkParse(b *testing.B) {
	src, err := os.ReadFile("../../examples/gridlog/declaration.json")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Parse("gridlog.json", src); err != nil {
			b.Fatal(err)
		}
	}
}

// full returns a set with 280 operators of four services each.
func full(b *testing.B) *Set {
	s := NewSet()
	for i := range 280 {
		operator := fmt.Sprintf("op%d", i)
		var services string
		for j := range 4 {
			services += fmt.Sprintf(`{"name": "op%d-s%d", "region": "kigali", "placement": {"domains": ["jabana"]}},`, i, j)
		}
		rec := Record{Kind: KindApply, Operator: operator, ApplyID: operator, File: fmt.Sprintf(
			`{"operator": %q, "quota": {"tasks_in_flight": 1, "tasks_per_second": 1}, "services": [%s]}`, operator, services)}
		data, err := rec.Encode()
		if err != nil {
			b.Fatal(err)
		}
		if ev, err := s.Apply(int64(i+1), data); err != nil || ev.Verdict != VerdictAccepted {
			b.Fatal(ev, err)
		}
	}
	return s
}

// BenchmarkService is the read on the request path, from all cores at once.
func BenchmarkService(b *testing.B) {
	s := full(b)
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			if _, _, ok := s.Service(serviceNames[i%len(serviceNames)]); !ok {
				b.Error("no such service")
			}
		}
	})
}

var serviceNames = func() (names []string) {
	for i := range 280 {
		names = append(names, fmt.Sprintf("op%d-s0", i))
	}
	return names
}()

// BenchmarkSetMemory reports what the state of 280 operators keeps in memory.
func BenchmarkSetMemory(b *testing.B) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var kept uint64
	for b.Loop() {
		before := heap()
		s := full(b)
		kept = heap() - before
		runtime.KeepAlive(s)
	}
	b.ReportMetric(float64(kept)/float64(280), "kept-B/operator")
}
