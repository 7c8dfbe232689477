// Package memlimit keeps a process's memory under a soft limit of the Go garbage
// collector for as long as the live heap fits into it.
//
// By default the collector lets the heap grow to twice the live heap. A limit makes
// it collect earlier, and costs nothing while memory use is far below the limit.
package memlimit

import (
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
)

// minHeapGrowth is the fraction of the live heap by which the heap may always grow
// before the next collection, whatever the limit. Without it, a process whose live heap
// exceeds the limit would collect continuously with up to half of the machine's
// processors and stall its requests. With 0.5 it collects at most twice as often as
// with the runtime's default.
const minHeapGrowth = 0.5

// Names of the runtime metrics that are read: the live heap after the last
// collection, all memory of the runtime, and the parts of that memory which are heap
// objects, free heap or released to the operating system.
const (
	liveHeap     = "/gc/heap/live:bytes"
	totalMemory  = "/memory/classes/total:bytes"
	heapObjects  = "/memory/classes/heap/objects:bytes"
	heapFree     = "/memory/classes/heap/free:bytes"
	heapReleased = "/memory/classes/heap/released:bytes"
)

// Limit is a memory limit in force. It is safe for concurrent use.
type Limit struct {
	bytes int64
	mu    sync.Mutex
	// stopped is guarded by mu.
	stopped bool
	// onAdjust is called after each adjustment of the limit. Only tests set it.
	onAdjust func()
}

// Set sets a memory limit in bytes and adjusts it after each collection. If bytes is
// zero or negative, Set leaves the runtime's limit unchanged and returns a Limit that
// does nothing.
func Set(bytes int64) *Limit { return set(bytes, nil) }

func set(bytes int64, onAdjust func()) *Limit {
	l := &Limit{bytes: bytes, onAdjust: onAdjust, stopped: bytes <= 0}
	if bytes > 0 {
		debug.SetMemoryLimit(bytes)
		l.watchNextCollection()
	}
	return l
}

// Stop removes the limit.
func (l *Limit) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.stopped = true
		debug.SetMemoryLimit(math.MaxInt64)
	}
}

// watchNextCollection allocates an unreachable object whose cleanup calls adjust after
// the next collection.
func (l *Limit) watchNextCollection() {
	sentinel := new([16]byte)
	runtime.AddCleanup(sentinel, (*Limit).adjust, l)
}

func (l *Limit) adjust() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	debug.SetMemoryLimit(limitFor(l.bytes, readUsage()))
	l.watchNextCollection()
	if l.onAdjust != nil {
		l.onAdjust()
	}
}

// usage is the memory use of the runtime in bytes.
type usage struct {
	live uint64
	// other is the memory that counts against the limit but isn't available to heap
	// objects: stacks, runtime structures, and fragmentation.
	other uint64
}

func readUsage() usage {
	samples := []metrics.Sample{{Name: liveHeap}, {Name: totalMemory}, {Name: heapObjects}, {Name: heapFree}, {Name: heapReleased}}
	metrics.Read(samples)
	u := usage{live: samples[0].Value.Uint64(), other: samples[1].Value.Uint64()}
	for _, heap := range samples[2:] {
		u.other -= min(u.other, heap.Value.Uint64())
	}
	return u
}

// limitFor returns the limit to set for the given use: the configured one, or a higher
// one if the live heap could not grow by minHeapGrowth under it.
func limitFor(set int64, u usage) int64 {
	needed := int64(u.live) + int64(float64(u.live)*minHeapGrowth) + int64(u.other)
	return max(set, needed)
}
