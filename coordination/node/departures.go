package node

import (
	"sync"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// departures tells members that left as planned from those that were evicted.
//
// A member that has left is still there: it finishes its jobs and tasks before
// it exits. Taking its leave record for its death failed every job that it was
// home of and every task that it ran, which is what a planned stop must not do.
// It counts as gone when a link to it breaks after it left: an agent ends its
// links only when it has nothing left to report.
type departures struct {
	mu sync.Mutex
	// left is guarded by mu. It has one entry for each planned stop until the
	// stopped agent's link breaks, 56 a day at full size.
	left map[state.NodeID]struct{}
}

// note takes a roster record as it stands in the log.
func (d *departures) note(data []byte) {
	rec, err := roster.Decode(data)
	if err != nil {
		return
	}
	leave, ok := rec.(roster.Leave)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left == nil {
		d.left = make(map[state.NodeID]struct{})
	}
	d.left[leave.NodeID] = struct{}{}
}

// leaving reports whether a member left as planned and may still be there.
func (d *departures) leaving(id state.NodeID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.left[id]
	return ok
}

// down says that the link to a node broke, and reports whether that means that
// a member which had left is now gone.
func (d *departures) down(id state.NodeID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.left[id]
	delete(d.left, id)
	return ok
}
