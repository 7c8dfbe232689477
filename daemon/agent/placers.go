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
// its backend server may belong to; see Worker.SetFormerOwners in coordination/worker.
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
func (p *recentPlacers) restore(now time.Duration, owners []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	dirty := p.dirty
	for _, o := range owners {
		if p.ownerByNode[worker.NodeOf(o)] == "" {
			p.recordLocked(now, o)
		}
	}
	p.dirty = dirty
}

func (p *recentPlacers) recordLocked(now time.Duration, owner string) {
	node := worker.NodeOf(owner)
	p.dirty = p.dirty || p.ownerByNode[node] != owner
	p.ownerByNode[node], p.lastOrder[node] = owner, now
}

// markDirty makes the notes due to be written again.
func (p *recentPlacers) markDirty() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dirty = true
}

// record records that an owner has sent orders.
func (p *recentPlacers) record(now time.Duration, owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLocked(now, owner)
}

// writeDue reports whether the notes have to be written. It does so once for each change, and
// then also drops the owners whose last order is older than placerRetention.
func (p *recentPlacers) writeDue(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.dirty || now-p.writtenAt < placersWriteInterval {
		return false
	}
	p.dirty, p.writtenAt = false, now
	maps.DeleteFunc(p.lastOrder, func(node string, at time.Duration) bool {
		old := now-at > placerRetention
		if old {
			delete(p.ownerByNode, node)
		}
		return old
	})
	return true
}

// owners returns the names of the recorded owners, sorted.
func (p *recentPlacers) owners() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Values(p.ownerByNode))
}
