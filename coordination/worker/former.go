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

// nodeOf returns the node of an owner's name.
func nodeOf(owner string) string {
	node, _, _ := strings.Cut(owner, "/")
	return node
}

// Former names the owners of best-effort jobs whose orders an earlier life of this
// agent has taken. They are all that a run which that life has started can be of.
func (w *Worker) Former(owners []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.former = make(map[string]string, len(owners))
	for _, o := range owners {
		w.former[nodeOf(o)] = o
	}
}

// replacedLocked takes in that an owner has claimed a shard, and has the runs of the
// earlier life of its node stopped.
func (w *Worker) replacedLocked(now time.Duration, fx *Effects, owner string) {
	node := nodeOf(owner)
	for id, s := range w.shards {
		if id >= w.bounds.Shards && s.owner != owner && nodeOf(s.owner) == node {
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
