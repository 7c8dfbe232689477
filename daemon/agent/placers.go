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
	placersPause = 500 * time.Millisecond
	// placersMemory is how long one that places nothing more is kept: longer than a
	// task of best-effort jobs takes.
	placersMemory = time.Minute
)

// placersLog knows whose orders this agent has taken. It is written down in the agent's
// notes, so that its next life knows of whom the runs can be that it finds at its
// backend server. See worker.SetFormerOwners.
type placersLog struct {
	mu sync.Mutex
	// All fields below are guarded by mu.

	// lives has the last life of each node that has placed work, and ordered when that
	// was.
	lives   map[string]string
	ordered map[string]time.Duration
	dirty   bool
	written time.Duration
}

func newPlacersLog() *placersLog {
	return &placersLog{lives: make(map[string]string), ordered: make(map[string]time.Duration)}
}

// carryOver takes in what an earlier life has written down. What this life has seen is
// newer.
func (l *placersLog) carryOver(now time.Duration, owners []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	dirty := l.dirty
	for _, o := range owners {
		if l.lives[worker.NodeOf(o)] == "" {
			l.putLocked(now, o)
		}
	}
	l.dirty = dirty
}

func (l *placersLog) putLocked(now time.Duration, owner string) {
	node := worker.NodeOf(owner)
	l.dirty = l.dirty || l.lives[node] != owner
	l.lives[node], l.ordered[node] = owner, now
}

// again has the notes written once more.
func (l *placersLog) again() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dirty = true
}

// note takes in that an owner has sent orders.
func (l *placersLog) note(now time.Duration, owner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.putLocked(now, owner)
}

// due reports whether there is something to write down, once for each change.
func (l *placersLog) due(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.dirty || now-l.written < placersPause {
		return false
	}
	l.dirty, l.written = false, now
	maps.DeleteFunc(l.ordered, func(node string, at time.Duration) bool {
		old := now-at > placersMemory
		if old {
			delete(l.lives, node)
		}
		return old
	})
	return true
}

// owners returns the names.
func (l *placersLog) owners() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Values(l.lives))
}
