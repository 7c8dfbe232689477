package worker

import (
	"strings"
	"time"
)

// Owners are named by node and life, "node/life". A process that claims under a new
// life shows that the earlier one of its node is gone for certain. What that one had
// ordered of best-effort jobs is for nobody: nothing of them is recorded, and the new
// life knows none of them. After all processes were killed at once such runs kept
// every worker busy until they had been silent for long enough, 0.4 s in which nothing
// was served.

// NodeOf returns the node of an owner's name.
func NodeOf(owner string) string {
	node, _, _ := strings.Cut(owner, "/")
	return node
}

// Former names the owners whose orders an earlier life of this agent has taken, where
// all were of best-effort jobs. They are all that a run which that life has started can
// be of.
//
// Without this an end of such a run waits for the owner of the shard that its ID leads
// to, and holds up all that the backend server lists behind it. Where no job is recorded
// no owner claims anything, and a list that is full for good stops the agent.
func (w *Worker) Former(owners []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.formerEffort = true
	w.former = make(map[string]string, len(owners))
	for _, o := range owners {
		w.former[NodeOf(o)] = o
	}
}

// replacedLocked takes in that an owner has claimed a shard, and has the runs of the
// earlier life of its node stopped.
func (w *Worker) replacedLocked(now time.Duration, fx *Effects, owner string) {
	node := NodeOf(owner)
	for id, s := range w.shards {
		if id >= w.bounds.Shards && s.owner != owner && NodeOf(s.owner) == node {
			s.heard = min(s.heard, now-w.bounds.OwnerSilence)
		}
	}
	if life, ok := w.former[node]; ok && life != owner {
		delete(w.former, node)
		if len(w.former) == 0 {
			w.disownLocked(now)
		}
	}
	w.silenceLocked(now, fx)
}

// disownLocked ends the wait for the owners of runs that an earlier life has started:
// all that they can be of are gone.
func (w *Worker) disownLocked(now time.Duration) {
	for _, r := range w.runs {
		if !r.known {
			r.startedAt = min(r.startedAt, now-w.bounds.Adoption)
		}
	}
}

// orphanAfter is how long an end may wait for the owner of its shard before it counts as
// waiting for nobody: owners that are linked claim within a quarter of a second.
const orphanAfter = time.Second

// Orphaned reports whether an end of an earlier life's run waits for an owner that has
// not claimed here.
func (w *Worker) Orphaned(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.ends {
		if !r.known && !r.end.settled && !w.formerEffort && now-r.startedAt > orphanAfter {
			return true
		}
	}
	return false
}
