package core

import (
	"sync/atomic"
	"time"
)

// AtomicDuration is a duration that several goroutines share.
type AtomicDuration struct{ v atomic.Int64 }

func (d *AtomicDuration) Set(t time.Duration) { d.v.Store(int64(t)) }
func (d *AtomicDuration) Get() time.Duration  { return time.Duration(d.v.Load()) }
