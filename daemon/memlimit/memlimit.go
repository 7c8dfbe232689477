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

// room is the fraction of the live heap by which the heap may always grow before the
// next collection, whatever the limit. Without it, a process whose live heap exceeds
// the limit would collect continuously with up to half of the machine's processors
// and stall its requests. With 0.5 it collects at most twice as often as with the
// runtime's default.
const room = 0.5

// Names of the runtime metrics that are read: the live heap after the last
// collection, all memory of the runtime, and the parts of that memory which are heap
// objects, free heap or released to the operating system.
const (
	liveHeap = "/gc/heap/live:bytes"
	total    = "/memory/classes/total:bytes"
	objects  = "/memory/classes/heap/objects:bytes"
	free     = "/memory/classes/heap/free:bytes"
	released = "/memory/classes/heap/released:bytes"
)

// Limit is a memory limit in force. It is safe for concurrent use.
type Limit struct {
	bytes int64
	mu    sync.Mutex
	// stopped is guarded by mu.
	stopped bool
	// changed is called after each adjustment of the limit. Only tests set it.
	changed func()
}

// Set sets a memory limit in bytes and adjusts it after each collection. If bytes is
// zero or negative, Set leaves the runtime's limit unchanged and returns a Limit that
// does nothing.
func Set(bytes int64) *Limit { return set(bytes, nil) }

func set(bytes int64, changed func()) *Limit {
	l := &Limit{bytes: bytes, changed: changed, stopped: bytes <= 0}
	if bytes > 0 {
		debug.SetMemoryLimit(bytes)
		l.arm()
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

// arm allocates an unreachable object whose cleanup calls collected after the next
// collection.
func (l *Limit) arm() {
	garbage := new([16]byte)
	runtime.AddCleanup(garbage, (*Limit).collected, l)
}

func (l *Limit) collected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	debug.SetMemoryLimit(limitFor(l.bytes, read()))
	l.arm()
	if l.changed != nil {
		l.changed()
	}
}

// usage is the memory use of the runtime in bytes.
type usage struct {
	live uint64
	// other is the memory that counts against the limit but isn't available to heap
	// objects: stacks, runtime structures, and fragmentation.
	other uint64
}

func read() usage {
	samples := []metrics.Sample{{Name: liveHeap}, {Name: total}, {Name: objects}, {Name: free}, {Name: released}}
	metrics.Read(samples)
	u := usage{live: samples[0].Value.Uint64(), other: samples[1].Value.Uint64()}
	for _, heap := range samples[2:] {
		u.other -= min(u.other, heap.Value.Uint64())
	}
	return u
}

// limitFor returns the limit to set for the given use: the configured one, or a higher
// one if the live heap could not grow by room under it.
func limitFor(set int64, u usage) int64 {
	needed := int64(u.live) + int64(float64(u.live)*room) + int64(u.other)
	return max(set, needed)
}
