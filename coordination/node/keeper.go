package node

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	// keeperAskEvery spaces the keeper's requests for records it lacks.
	keeperAskEvery = 100 * time.Millisecond
	// keeperBacklog bounds the records that wait for one before them.
	keeperBacklog = 1024
)

// keeper follows the roster for a node that guards nothing itself. It takes
// records from the log and, when an answer shows that a peer knows a newer
// epoch, from that peer: during an outage of the log the entries would
// otherwise go on naming homes that the agents have already replaced.
type keeper struct {
	// applied, unless nil, is told of each record that was applied to a known
	// roster, once and in order. It is called with mu held.
	applied func(offset int64, data []byte, change roster.Change)

	mu sync.Mutex
	// The rest is guarded by mu.
	roster *roster.Roster
	// waiting holds records that came before an earlier one.
	waiting map[int64][]byte
	askedAt time.Time
	seq     uint64
}

func newKeeper() *keeper {
	return &keeper{roster: roster.New(), waiting: make(map[int64][]byte)}
}

// Roster returns the newest roster known.
func (k *keeper) Roster() *roster.Roster {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.roster
}

// apply takes one record and those that waited for it. It reports the members
// that are gone and whether the epoch moved.
func (k *keeper) apply(offset int64, data []byte) (gone []state.NodeID, moved bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.roster.Epoch()
	gone = k.applyLocked(offset, data, nil)
	for {
		next := k.roster.Offset() + 1
		waiting, ok := k.waiting[next]
		if !ok {
			break
		}
		delete(k.waiting, next)
		gone = k.applyLocked(next, waiting, gone)
	}
	return gone, k.roster.Epoch() != before
}

func (k *keeper) applyLocked(offset int64, data []byte, gone []state.NodeID) []state.NodeID {
	at := k.roster.Offset()
	if offset > at+1 && at != 0 {
		if len(k.waiting) < keeperBacklog {
			k.waiting[offset] = data
		}
		return gone
	}
	// A bad record has no effect and only advances the offset.
	next, change, _ := k.roster.Apply(offset, data)
	k.roster = next
	if k.applied != nil && offset > at && next.Rooted() {
		k.applied(offset, data, change)
	}
	if change.Kind == roster.KindLeave || change.Kind == roster.KindEvict {
		gone = append(gone, change.Member.ID)
	}
	return gone
}

// restart forgets the roster: the log no longer keeps the records that would
// continue it. The next valid snapshot gives a new one.
func (k *keeper) restart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.roster = roster.New()
	clear(k.waiting)
}

// behind asks a peer for records when it has shown a newer epoch.
func (k *keeper) behind(now time.Time, peer state.NodeID, epoch state.Epoch) []coordination.Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := k.roster.Offset()
	if int64(epoch) <= at || now.Sub(k.askedAt) < keeperAskEvery {
		return nil
	}
	k.askedAt = now
	k.seq++
	ask := message.RosterAsk{After: state.Epoch(at), Seq: k.seq}
	return []coordination.Action{coordination.Send{To: peer, Msg: ask}}
}
