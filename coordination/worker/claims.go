package worker

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Claim is an owner's request to become the only owner of a shard whose orders this agent accepts.
type Claim struct {
	Shard   int
	Epoch   int64
	Session int64
	Owner   string
}

// Claimed is the answer to a Claim. It lists every run of the shard that is known here.
type Claimed struct {
	Claim
	// Effects are to be carried out by the driver: a claim may show that other owners have been
	// replaced, and their runs are stopped.
	Effects Effects
	// Refused is set when a newer owner, or a newer link of the same owner, is known. KnownEpoch is
	// then the epoch of the known owner.
	Refused    bool
	KnownEpoch int64
	Runs       []RunState
	// Lost lists the runs of the shard that were recently lost with a backend server.
	Lost []RunState
	// Incarnation is what answers the claim.
	Incarnation Incarnation
}

// Incarnation is an incarnation of an agent and the backend server that it had when it answered a
// claim.
type Incarnation struct {
	// Agent names the incarnation; empty if that is unknown.
	Agent string
	// Server is zero if the incarnation has not seen the lists of a backend server.
	Server job.Instance
}

// KnowsRunsOf reports whether an agent that now answers as i knows all runs that were ordered at it
// since it answered a claim as earlier. A restarted agent knows them only from the lists of its
// backend server, so that must still be the same instance. An earlier incarnation without a name
// was stored by an owner that didn't ask for it.
func (i Incarnation) KnowsRunsOf(earlier Incarnation) bool {
	if earlier.Agent == "" || i.Agent == earlier.Agent {
		return true
	}
	return i.Server != (job.Instance{}) && i.Server == earlier.Server
}

// Claim makes c.Owner the only owner of the shard, unless a newer one is known. From then on,
// orders of older epochs and sessions that are still in transit are dropped. Otherwise an order
// that arrives after the claim on another connection would start a task that the new owner starts
// elsewhere.
func (w *Worker) Claim(now time.Duration, c Claim) Claimed {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.shards[c.Shard]
	if s != nil && (c.Epoch < s.epoch || c.Epoch == s.epoch && c.Session < s.session) {
		return Claimed{Claim: c, Refused: true, KnownEpoch: s.epoch}
	}
	w.shards[c.Shard] = &shardState{owner: c.Owner, epoch: c.Epoch, session: c.Session, heard: now}
	w.forgetOwnersLocked(now)
	out := Claimed{Claim: c, Incarnation: Incarnation{Agent: w.bounds.Incarnation}}
	if w.listsSeen {
		out.Incarnation.Server = w.server.Instance
	}
	if c.Shard >= w.bounds.Shards {
		w.ownerReplacedLocked(now, &out.Effects, c.Owner)
	}
	for _, r := range w.sortedRunsLocked() {
		if r.order.Shard == c.Shard {
			r.order.Epoch = c.Epoch
		} else if r.orderKnown || c.Shard < w.bounds.Shards {
			// A run of an earlier incarnation is reported only to the shard that its job ID maps to
			// and to the private shards of best-effort jobs. Any other shard would settle its end
			// as unknown before the owner has recorded it.
			continue
		}
		out.Runs = append(out.Runs, r.state())
	}
	out.Lost = w.lostRunsLocked(c)
	return out
}

// ownerRetention is how long the epoch of a silent owner is kept. It is longer than any order of
// that owner can be in transit.
const ownerRetention = time.Minute

// forgetOwnersLocked drops the state of shards whose owners have been silent for longer than
// ownerRetention.
func (w *Worker) forgetOwnersLocked(now time.Duration) {
	for id, s := range w.shards {
		if now-s.heard > ownerRetention {
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

// Release notes that an owner has given up a shard. The runs of the shard go on until the next
// owner claims them, or until the owner timeout has passed.
func (w *Worker) Release(shard int, owner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.shards[shard]; s != nil && s.owner == owner {
		s.owner = ""
	}
}

// SessionStarted handles the first frame of a session of an owner, which has the epochs of the shards
// that it has. The runs of its other shards here no longer count as those of a live owner: their release
// may have been lost with an earlier session, and heartbeats would keep them active beside those of the
// next owner.
func (w *Worker) SessionStarted(owner string, session int64, held map[int]int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, s := range w.shards {
		if epoch, ok := held[id]; s.owner == owner && s.session < session && !(ok && epoch == s.epoch) {
			s.owner = ""
		}
	}
}

// LinkLost notes that an owner's link has ended. A live owner reconnects at once. The time allowed
// for that is shorter than the timeout of a silent owner, because the client of a dead owner
// resubmits its job to another one.
func (w *Worker) LinkLost(now time.Duration, owner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.shards {
		if s.owner == owner {
			s.heard = min(s.heard, now-w.bounds.OwnerTimeout+w.bounds.ReconnectTimeout)
		}
	}
}

// Heard notes that a message from an owner has arrived. It returns false if the owner had already
// been silent for the owner timeout: its successor may have relied on that, so a message that a
// suspension of the host or a recovered link delivers late must not keep its runs alive. The owner
// then has to claim its shards again. Shards that it doesn't claim are no longer attributed to it:
// it may have given one up while the link was down, and every later frame would otherwise count as
// one of a silent owner.
func (w *Worker) Heard(now time.Duration, owner string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	inTime := true
	for _, s := range w.shards {
		if s.owner != owner {
			continue
		}
		if now-s.heard >= w.bounds.OwnerTimeout {
			s.owner = ""
			inTime = false
			continue
		}
		s.heard = now
	}
	return inTime
}
