package core

import (
	"sync/atomic"
	"time"
)

// AtomicDuration is a duration that several goroutines share.
type AtomicDuration struct{ v atomic.Int64 }

// Set sets it.
func (d *AtomicDuration) Set(t time.Duration) { d.v.Store(int64(t)) }

// Get returns it.
func (d *AtomicDuration) Get() time.Duration { return time.Duration(d.v.Load()) }
