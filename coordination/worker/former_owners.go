package worker

import (
	"strings"
	"time"
)

// Owners are named "node/incarnation", by their node and the incarnation of their process. A
// process that claims shards under a new incarnation shows that the earlier incarnation of its node
// is gone. The best-effort runs that the earlier one ordered are of no use any more: nothing of
// them is recorded, and the new incarnation doesn't know them. If they were left until the adoption
// timeout after all processes were killed at once, they would keep every worker busy, and nothing
// would be served for 0.4 s.

// NodeOf returns the node part of an owner's name.
func NodeOf(owner string) string {
	node, _, _ := strings.Cut(owner, "/")
	return node
}

// SetFormerOwners sets the owners whose orders an earlier incarnation of this agent has accepted.
// It is called only if all these orders were of best-effort jobs. Every run that the earlier
// incarnation started then belongs to one of these owners.
//
// Without this, the end of such a run waits for the owner of the shard that its job ID maps to and
// blocks the acknowledgement of all later ends. Where no job is recorded, no such owner ever
// claims, and a full list of ends would stop the agent for good.
func (w *Worker) SetFormerOwners(owners []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.formerBestEffort = true
	w.formerOwners = make(map[string]string, len(owners))
	for _, o := range owners {
		w.formerOwners[NodeOf(o)] = o
	}
}

// ownerReplacedLocked notes that an owner has claimed a private shard, and stops the runs of
// earlier incarnations of the same node.
func (w *Worker) ownerReplacedLocked(now time.Duration, fx *Effects, owner string) {
	node := NodeOf(owner)
	for id, s := range w.shards {
		if id >= w.bounds.Shards && s.owner != owner && NodeOf(s.owner) == node {
			s.heard = min(s.heard, now-w.bounds.OwnerTimeout)
		}
	}
	if former, ok := w.formerOwners[node]; ok && former != owner {
		delete(w.formerOwners, node)
		if len(w.formerOwners) == 0 {
			w.expireAdoptionLocked(now)
		}
	}
	w.enforceOwnerTimeoutLocked(now, fx)
}

// expireAdoptionLocked ends the adoption period of runs that an earlier incarnation of this agent
// started, because all owners they could belong to are gone.
func (w *Worker) expireAdoptionLocked(now time.Duration) {
	for _, r := range w.runs {
		if !r.orderKnown {
			r.startedAt = min(r.startedAt, now-w.bounds.AdoptionTimeout)
		}
	}
}

// orphanAfter is how long an end may wait for the owner of its shard before it counts as orphaned.
// Owners that are linked claim within a quarter of a second.
const orphanAfter = time.Second

// HasOrphanedEnds reports whether the end of a run of an earlier incarnation waits for an owner
// that has not claimed here.
func (w *Worker) HasOrphanedEnds(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.unackedEnds {
		if !r.orderKnown && !r.end.settled && !w.formerBestEffort && now-r.startedAt > orphanAfter {
			return true
		}
	}
	return false
}
