// Package memlimit holds a process's memory under a soft limit of Go's collector
// for as long as what lives allows it.
//
// By default the collector lets the heap grow to twice what lives. A limit makes
// it collect earlier instead, at no cost while the process is far below.
package memlimit

import (
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
)

// room is how far the heap may grow beyond what lives before the next
// collection, whatever the limit. A process that needs more than its limit would
// otherwise collect without pause, with up to half of the machine's processors,
// and stall all that it serves. With a half it collects twice as often as the
// default would.
const room = 0.5

// The runtime's figures: live heap after the last collection, everything that
// counts against the limit, and the parts of it that are heap.
const (
	liveHeap = "/gc/heap/live:bytes"
	total    = "/memory/classes/total:bytes"
	objects  = "/memory/classes/heap/objects:bytes"
	free     = "/memory/classes/heap/free:bytes"
	released = "/memory/classes/heap/released:bytes"
)

// Limit is a limit in force. It is safe for concurrent use.
type Limit struct {
	bytes int64
	mu    sync.Mutex
	// stopped is guarded by mu.
	stopped bool
	// changed is told after each collection; for tests, may be nil.
	changed func()
}

// Set puts a limit in bytes into force and looks after it following each
// collection. Zero leaves the runtime as it is and returns a Limit that does
// nothing.
func Set(bytes int64) *Limit { return set(bytes, nil) }

func set(bytes int64, changed func()) *Limit {
	l := &Limit{bytes: bytes, changed: changed, stopped: bytes <= 0}
	if bytes > 0 {
		debug.SetMemoryLimit(bytes)
		l.arm()
	}
	return l
}

// Stop takes the limit away.
func (l *Limit) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.stopped = true
		debug.SetMemoryLimit(math.MaxInt64)
	}
}

// arm leaves garbage whose cleanup tells of the end of the next collection.
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

// usage is what the runtime holds, in bytes.
type usage struct {
	live uint64
	// other is what counts against the limit and is no heap that could grow:
	// stacks, the runtime's own, and gaps between objects.
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

// limitFor returns the limit to be in force: the set one, or as much as leaves
// room beyond what lives.
func limitFor(set int64, u usage) int64 {
	needed := int64(u.live) + int64(float64(u.live)*room) + int64(u.other)
	return max(set, needed)
}
