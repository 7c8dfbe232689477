package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
)

const (
	// placersPause spaces the writes of who has placed work here. After a start all
	// entries place their first task within a moment, and one write covers them.
	placersWriteInterval = 500 * time.Millisecond
	// placersMemory is how long one that places nothing more is kept: longer than a
	// task of best-effort jobs takes.
	placerRetention = time.Minute
)

// placersLog knows whose orders this agent has taken. It is written down in the agent's
// notes, so that its next life knows of whom the runs can be that it finds at its
// backend server. See worker.Former.
type recentPlacers struct {
	mu sync.Mutex
	// All fields below are guarded by mu.

	// lives has the last life of each node that has placed work, and ordered when that
	// was.
	ownerByNode map[string]string
	lastOrder   map[string]time.Duration
	dirty       bool
	writtenAt   time.Duration
}

func newRecentPlacers() *recentPlacers {
	return &recentPlacers{ownerByNode: make(map[string]string), lastOrder: make(map[string]time.Duration)}
}

// carryOver takes in what an earlier life has written down. What this life has seen is
// newer.
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

// again has the notes written once more.
func (l *recentPlacers) markDirty() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dirty = true
}

// note takes in that an owner has sent orders.
func (l *recentPlacers) record(now time.Duration, owner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordLocked(now, owner)
}

// due reports whether there is something to write down, once for each change.
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

// owners returns the names.
func (l *recentPlacers) owners() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Values(l.ownerByNode))
}
