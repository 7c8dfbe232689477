package core

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/protocol/core/corepb"
)

const (
	// placersPause spaces the writes of who has placed work here. After a start all
	// entries place their first task within a moment, and one write covers them.
	placersPause = 500 * time.Millisecond
	// placersMemory is how long one that places nothing more is kept: longer than a
	// task of best-effort jobs takes.
	placersMemory = time.Minute
)

// placersLog knows whose orders this agent has taken. It is written down with the
// agent's registration, so that the agent's next life knows of whom the runs can be
// that it finds at its backend server.
type placersLog struct {
	// shards is the number of shards of recorded jobs.
	shards int

	mu sync.Mutex
	// All fields below are guarded by mu.

	// lives has the last life of each node that has placed work, and ordered when that
	// was.
	lives   map[string]string
	ordered map[string]time.Duration
	// recorded is set once an order was for a recorded job. Its run outlives its owner.
	recorded bool
	dirty    bool
	written  time.Duration
}

func newPlacersLog(shards int) *placersLog {
	return &placersLog{shards: shards, lives: make(map[string]string), ordered: make(map[string]time.Duration)}
}

// carryOver takes in what an earlier life has written down.
func (l *placersLog) carryOver(now time.Duration, owners []string, recorded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range owners {
		l.putLocked(now, o)
	}
	l.recorded = recorded
}

func (l *placersLog) putLocked(now time.Duration, owner string) {
	node, _, _ := strings.Cut(owner, "/")
	l.dirty = l.dirty || l.lives[node] != owner
	l.lives[node], l.ordered[node] = owner, now
}

// note takes in that an owner has sent orders.
func (l *placersLog) note(now time.Duration, owner string, orders []*corepb.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.putLocked(now, owner)
	for _, o := range orders {
		if int(o.GetShard()) < l.shards && !l.recorded {
			l.recorded, l.dirty = true, true
		}
	}
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

// owners returns the names, and whether recorded jobs were among the orders.
func (l *placersLog) owners() ([]string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Values(l.lives)), l.recorded
}
