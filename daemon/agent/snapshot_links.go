package agent

import (
	"context"
	"time"

	"github.com/shallotstep/shallotstep/coordination/snapshot"
	"github.com/shallotstep/shallotstep/daemon/core"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/peer"
)

const (
	// snapshotEntries is how many linked entries are asked at once: one may have lost the store
	// longer ago than another.
	snapshotEntries = 3
	// snapshotAnswerTimeout bounds the wait for them. A frame and its answer take 10 ms, and
	// 100 ms on a host that is slowed.
	snapshotAnswerTimeout = 300 * time.Millisecond
)

// askLinkedEntries asks some of the linked entries for what they have read of a partition. It
// returns the newest answer, or nil if there is none.
func (a *Agent) askLinkedEntries(ctx context.Context, p store.Partition) *snapshot.State {
	answers, question := a.snapshots.listen(p)
	defer a.snapshots.ignore(answers)
	began, asked := bootclock.Now(), 0
	for c, s := range a.snapshotCallers() {
		if s.isEntry() && asked < snapshotEntries {
			asked++
			c.Send(func(f *corepb.FromAgent) { askSnapshot(f, question) })
		}
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotAnswerTimeout)
	defer cancel()
	return newestAnswer(collect(ctx, answers, asked), p, began)
}

// collect returns the answers that come before ctx ends, at most n.
func collect(ctx context.Context, answers <-chan *corepb.StoreSnapshot, n int) []*corepb.StoreSnapshot {
	var out []*corepb.StoreSnapshot
	for len(out) < n {
		select {
		case answer := <-answers:
			out = append(out, answer)
		case <-ctx.Done():
			return out
		}
	}
	return out
}

// newestAnswer returns the newest state of a partition in the answers to a question of a time, or
// nil if there is none. All the time since then counts as the way of an answer, also that for
// which it has waited here for others.
func newestAnswer(all []*corepb.StoreSnapshot, p store.Partition, asked time.Duration) *snapshot.State {
	transit := bootclock.Now() - asked
	var best *snapshot.State
	for _, answer := range all {
		part := answer.GetConfig()
		if p == core.RegistryPartition {
			part = answer.GetRegistry()
		}
		s := wire.StateFromWire(part, transit)
		if s.Check() == nil && (best == nil || s.NewerThan(best)) {
			best = &s
		}
	}
	return best
}

// askSnapshot adds a question for a partition to a frame, which may have one for the other.
func askSnapshot(f *corepb.FromAgent, q *corepb.SnapshotQuestion) {
	other := f.GetAskSnapshot()
	f.AskSnapshot = &corepb.SnapshotQuestion{
		Number: max(q.GetNumber(), other.GetNumber()),
		Config: q.GetConfig() || other.GetConfig(), Registry: q.GetRegistry() || other.GetRegistry(),
	}
}

// listen returns a new question for a partition, and a channel that gets the answers of linked
// entries to it and to later ones until ignore is called. An answer to an earlier question may
// have been under way for longer than this one was asked ago, so its age is unknown.
func (s *snapshots) listen(p store.Partition) (chan *corepb.StoreSnapshot, *corepb.SnapshotQuestion) {
	answers := make(chan *corepb.StoreSnapshot, snapshotEntries)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	q := &corepb.SnapshotQuestion{Number: s.lastNumber, Config: p != core.RegistryPartition, Registry: p == core.RegistryPartition}
	s.told[answers] = q
	return answers, q
}

// answers reports whether an answer to a question is one to another question too.
func answers(to, q *corepb.SnapshotQuestion) bool {
	return to.GetNumber() >= q.GetNumber() && (to.GetConfig() || !q.GetConfig()) && (to.GetRegistry() || !q.GetRegistry())
}

func (s *snapshots) ignore(answers chan *corepb.StoreSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.told, answers)
}

// tell passes the answer of a linked entry to all that have asked by then. Answers beyond their number
// are dropped.
func (s *snapshots) tell(answer *corepb.StoreSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for listener, q := range s.told {
		if !answers(answer.GetQuestion(), q) {
			continue
		}
		select {
		case listener <- answer:
		default:
		}
	}
}

// isEntry reports whether the caller has claimed a private shard, as entries do.
func (s *callerState) isEntry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry
}

// noteClaim records whether a caller is an entry.
func (a *Agent) noteClaim(c *peer.Caller, shard int) {
	s := a.stateOf(c)
	if s == nil || shard < a.settings.Shards() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry = true
}
