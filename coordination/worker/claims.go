package worker

import (
	"time"
)

// Claim is an owner's demand to be the one whose orders count for a shard.
type Claim struct {
	Shard   int
	Epoch   int64
	Session int64
	Owner   string
}

// Claimed answers a Claim with every run of the shard that is known here.
type Claimed struct {
	Claim
	// Effects are to be carried out: the claim may show that others are gone.
	Effects Effects
	// Refused is set when a newer owner, or a newer link of this one, is known, and
	// KnownEpoch is the owner's epoch then.
	Refused    bool
	KnownEpoch int64
	Runs       []RunState
	// Lost has the runs that were lost with the backend server lately.
	Lost []RunState
}

// Claim makes the owner the shard's only one, unless a newer one is known.
// Orders of older epochs and of older sessions that are still on their way are
// dropped from here on. Otherwise an order that overtook the claim on another
// connection would start a task that the new owner starts elsewhere.
func (w *Worker) Claim(now time.Duration, c Claim) Claimed {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.shards[c.Shard]
	if s != nil && (c.Epoch < s.epoch || c.Epoch == s.epoch && c.Session < s.session) {
		return Claimed{Claim: c, Refused: true, KnownEpoch: s.epoch}
	}
	w.shards[c.Shard] = &shardState{owner: c.Owner, epoch: c.Epoch, session: c.Session, heard: now}
	w.forgetOwnersLocked(now)
	out := Claimed{Claim: c}
	if c.Shard >= w.bounds.Shards {
		w.replacedLocked(now, &out.Effects, c.Owner)
	}
	for _, r := range w.runs {
		if r.order.Shard == c.Shard {
			r.order.Epoch = c.Epoch
		} else if r.known || c.Shard < w.bounds.Shards {
			// Only the shard of a job and the private ones, of best-effort
			// jobs, can know a run of an earlier life. Another shard would
			// settle its end as nobody's before anyone has recorded it.
			continue
		}
		out.Runs = append(out.Runs, r.state())
	}
	out.Lost = w.lostForLocked(c)
	return out
}

// ownerMemory is how long the epoch of a silent owner is kept: longer than any
// order of it can be on its way.
const ownerMemory = time.Minute

// forgetOwnersLocked drops shards whose owners have been silent for long.
func (w *Worker) forgetOwnersLocked(now time.Duration) {
	for id, s := range w.shards {
		if now-s.heard > ownerMemory {
			delete(w.shards, id)
		}
	}
}

func (r *run) state() RunState {
	s := RunState{Run: r.order.Run, Status: Running}
	switch r.phase {
	case waiting:
		s.Status = Waiting
	case ended:
		s.Status, s.End, s.Checkpoint, s.Work = Ended, r.end.kind, r.end.checkpoint, r.end.work
		s.Result = r.end.result
	}
	return s
}

// Release takes in that an owner has given a shard up. Its runs go on until the
// next owner claims them, or for as long as an owner may be silent.
func (w *Worker) Release(shard int, owner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.shards[shard]; s != nil && s.owner == owner {
		s.owner = ""
	}
}

// Unlinked takes in that an owner's link has ended. An owner that lives dials
// again at once; one that does not is given less time than a silent one, since
// the client that it has served sends its job again to another.
func (w *Worker) Unlinked(now time.Duration, owner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.shards {
		if s.owner == owner {
			s.heard = min(s.heard, now-w.bounds.OwnerSilence+w.bounds.Relink)
		}
	}
}

// Heard notes a sign of life of an owner. It returns false when the owner has
// been silent for too long already: its new owner may count on that silence, so
// a message that a suspension or a healed link delivers late must not revive
// its runs. The owner has to claim its shards anew. Those that it doesn't claim
// then are not its own any more: it may have given one up while the link was
// down, and each frame of a sound link would count as one of a silent owner.
func (w *Worker) Heard(now time.Duration, owner string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	inTime := true
	for _, s := range w.shards {
		if s.owner != owner {
			continue
		}
		if now-s.heard >= w.bounds.OwnerSilence {
			s.owner = ""
			inTime = false
			continue
		}
		s.heard = now
	}
	return inTime
}
