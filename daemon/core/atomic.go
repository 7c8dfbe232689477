package core

import (
	"sync/atomic"
	"time"
)

// AtomicDuration is a time.Duration that is safe for concurrent use. The zero value is 0.
type AtomicDuration struct{ v atomic.Int64 }

// Set stores t.
func (d *AtomicDuration) Set(t time.Duration) { d.v.Store(int64(t)) }

// Get returns the stored duration.
func (d *AtomicDuration) Get() time.Duration { return time.Duration(d.v.Load()) }
