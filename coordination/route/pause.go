package route

import (
	"sync/atomic"
	"time"
)

const (
	// pauseAfter is how long without a tick this process counts as paused; a
	// driver that rests ticks several times in it.
	pauseAfter = 500 * time.Millisecond
	// oldFor is how long after a pause messages may be read that came during it.
	oldFor = time.Second
)

// pause notices that this process stood still.
//
// The failure it is for: a "not run" lies in the socket of a paused entry, its
// caller submits again through another one, and the job runs. When the first
// entry goes on, its word is about the past: told as it stands, the caller hears
// "not run" of what ran. Both fields are Unix nanoseconds.
type pause struct {
	tickedAt atomic.Int64
	endedAt  atomic.Int64
}

// tick notes a tick and whether it comes after a pause.
func (p *pause) tick(now time.Time) {
	last := p.tickedAt.Swap(now.UnixNano())
	if last != 0 && now.UnixNano()-last > int64(pauseAfter) {
		p.endedAt.Store(now.UnixNano())
	}
}

// mayBeOld reports whether a message that is read now may have come before or
// during a pause.
func (p *pause) mayBeOld(now time.Time) bool {
	at := now.UnixNano()
	last := p.tickedAt.Load()
	ended := p.endedAt.Load()
	return last != 0 && at-last > int64(pauseAfter) || ended != 0 && at-ended < int64(oldFor)
}
