package home

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

const (
	// The pause before an agent whose link broke is probed doubles from the
	// first to the last of these.
	probePauseFirst = 100 * time.Millisecond
	probePauseMax   = 10 * time.Second
	// outageKept is how long a node that is heard of no more is remembered.
	outageKept = 10 * time.Minute
)

// links remembers the nodes to which the link broke and that have not been
// heard since. A dead agent's load stays in the view for as long as others
// spread it, and with the log out of service nobody can evict it. Each task sent
// to it is lost with its job, because the home can't know that it did not
// start. So such an agent gets nothing but a probe until it is heard again.
type links struct {
	count atomic.Int32 // of down, to pass by the lock when there are none
	mu    sync.Mutex
	down  map[state.NodeID]*outage // guarded by mu
}

type outage struct {
	probeAt time.Time
	pause   time.Duration
	last    time.Time
}

// lost notes that the link to a node broke.
func (l *links) lost(now time.Time, id state.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down == nil {
		l.down = make(map[state.NodeID]*outage)
	}
	for old, o := range l.down {
		if now.Sub(o.last) > outageKept {
			delete(l.down, old)
		}
	}
	if o := l.down[id]; o != nil {
		o.last = now
	} else {
		l.down[id] = &outage{probeAt: now.Add(probePauseFirst), pause: probePauseFirst, last: now}
	}
	l.count.Store(int32(len(l.down)))
}

// heard notes that a node has spoken, or will never again.
func (l *links) heard(id state.NodeID) {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.down, id)
	l.count.Store(int32(len(l.down)))
}

// isDown reports whether the node is to get no tasks. probe says that it should
// be sent a message that asks for an answer.
func (l *links) isDown(now time.Time, id state.NodeID) (down, probe bool) {
	if l.count.Load() == 0 {
		return false, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.down[id]
	if o == nil {
		return false, false
	}
	if now.Before(o.probeAt) {
		return true, false
	}
	o.pause = min(2*o.pause, probePauseMax)
	o.probeAt = now.Add(o.pause)
	return true, true
}
