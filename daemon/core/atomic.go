package core

import (
	"sync/atomic"
	"time"
)

// atomicDuration is a duration that several goroutines share.
type atomicDuration struct{ v atomic.Int64 }

func (d *atomicDuration) set(t time.Duration) { d.v.Store(int64(t)) }
func (d *atomicDuration) get() time.Duration  { return time.Duration(d.v.Load()) }
