package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
)

const (
	// placersWriteInterval is the least time between two writes of the notes. After a
	// start, all entries place their first task at almost the same time, and one write
	// covers them.
	placersWriteInterval = 500 * time.Millisecond
	// placerRetention is how long an owner is kept after its last order. It is longer
	// than a task of a best-effort job takes.
	placerRetention = time.Minute
)

// recentPlacers records the owners whose orders this agent has received. They are stored in
// the agent's notes, so that its next incarnation knows which owners the runs that it finds on
// its backend server may belong to. See worker.Former.
type recentPlacers struct {
	mu sync.Mutex
	// All fields below are guarded by mu.

	// ownerByNode has the newest owner of each node that has placed work, and lastOrder
	// the time of its last order.
	ownerByNode map[string]string
	lastOrder   map[string]time.Duration
	// dirty is set while the notes have to be written. writtenAt is when the last write
	// became due.
	dirty     bool
	writtenAt time.Duration
}

func newRecentPlacers() *recentPlacers {
	return &recentPlacers{ownerByNode: make(map[string]string), lastOrder: make(map[string]time.Duration)}
}

// restore adds the owners that an earlier incarnation has stored, except for nodes that have
// already sent orders to this incarnation.
func (l *recentPlacers) restore(now time.Duration, owners []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	dirty := l.dirty
	for _, o := range owners {
		if l.ownerByNode[worker.NodeOf(o)] == "" {
			l.recordLocked(now, o)
		}
	}
	l.dirty = dirty
}

func (l *recentPlacers) recordLocked(now time.Duration, owner string) {
	node := worker.NodeOf(owner)
	l.dirty = l.dirty || l.ownerByNode[node] != owner
	l.ownerByNode[node], l.lastOrder[node] = owner, now
}

// markDirty makes the notes due to be written again.
func (l *recentPlacers) markDirty() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dirty = true
}

// record records that an owner has sent orders.
func (l *recentPlacers) record(now time.Duration, owner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordLocked(now, owner)
}

// writeDue reports whether the notes have to be written. It does so once for each change, and
// then also drops the owners whose last order is older than placerRetention.
func (l *recentPlacers) writeDue(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.dirty || now-l.writtenAt < placersWriteInterval {
		return false
	}
	l.dirty, l.writtenAt = false, now
	maps.DeleteFunc(l.lastOrder, func(node string, at time.Duration) bool {
		old := now-at > placerRetention
		if old {
			delete(l.ownerByNode, node)
		}
		return old
	})
	return true
}

// owners returns the names of the recorded owners, sorted.
func (l *recentPlacers) owners() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Values(l.ownerByNode))
}
