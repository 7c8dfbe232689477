package declare

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

const (
	// askFanout is how many peers are asked at once. Versions only move
	// forward, so the newest of their answers wins.
	askFanout = 2
	// firstAsk and maxAsk bound the pause between rounds.
	firstAsk = 500 * time.Millisecond
	maxAsk   = 30 * time.Second
	// askJitter spreads the first round: an outage is noticed by all at once.
	askJitter = time.Second
	// replyBytes is how many file bytes one reply carries at least before the
	// rest goes into another.
	replyBytes = 256 << 10
)

// peerState is what the machine knows of its peers.
type peerState struct {
	ids []state.NodeID
	// heard are the peers that have answered.
	heard map[state.NodeID]bool
	// at is when the next round starts; zero until something calls for one.
	at    time.Time
	pause time.Duration
}

// askSoon starts over with rounds of questions.
func (p *peerState) askSoon(now time.Time) {
	p.pause = firstAsk
	if p.at.IsZero() || p.at.After(now) {
		p.at = now
	}
}

func (p *peerState) heardEnough() bool {
	return len(p.heard) > 0 && len(p.heard) >= min(askFanout, len(p.ids))
}

// Peers tells the machine whom it may ask.
func (m *Machine) Peers(ids []state.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers.ids = slices.DeleteFunc(slices.Clone(ids), func(id state.NodeID) bool { return id == m.opts.Self })
}

// askPeersLocked asks while the log doesn't tell this node everything: it has
// not been read to its end, can't be read, or begins too late.
func (m *Machine) askPeersLocked(now time.Time) []coordination.Action {
	p := &m.peers
	if len(p.ids) == 0 || m.log.readable(now) && m.set.Complete() {
		return nil
	}
	if p.pause == 0 {
		p.pause = firstAsk
		p.at = now
	}
	if now.Before(p.at) {
		return nil
	}
	p.at = now.Add(p.pause + time.Duration(m.rng.Int64N(int64(askJitter))))
	p.pause = min(2*p.pause, maxAsk)
	ask := message.DeclarationAsk{Have: m.have()}
	var actions []coordination.Action
	for _, i := range m.rng.Perm(len(p.ids))[:min(askFanout, len(p.ids))] {
		actions = append(actions, coordination.Send{To: p.ids[i], Msg: ask})
	}
	m.metrics.asked(len(actions))
	return actions
}

func (m *Machine) have() map[string]state.Version {
	have := make(map[string]state.Version)
	for _, operator := range m.set.Operators() {
		if cur, ok := m.set.Operator(operator); ok {
			have[operator] = cur.Version
		}
	}
	return have
}

// Handle takes a message from a peer.
func (m *Machine) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	switch msg := msg.(type) {
	case message.DeclarationAsk:
		return m.answerPeer(from, msg)
	case message.DeclarationReply:
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.mergeLocked(from, msg)
	}
	return nil
}

// answerPeer sends what the asker lacks. It answers also if that is nothing, so
// that a newcomer knows it has heard from this peer. A node that knows nothing
// itself keeps silent: its answer would make a newcomer believe that there are
// no declarations.
func (m *Machine) answerPeer(from state.NodeID, ask message.DeclarationAsk) []coordination.Action {
	if !m.Ready() && !m.disabled.silentIgnorant {
		return nil
	}
	var actions []coordination.Action
	var reply message.DeclarationReply
	size := 0
	for _, operator := range m.set.Operators() {
		cur, ok := m.set.Operator(operator)
		if !ok || cur.Version <= ask.Have[operator] {
			continue
		}
		if size > replyBytes {
			actions = append(actions, coordination.Send{To: from, Msg: reply})
			reply, size = message.DeclarationReply{}, 0
		}
		size += len(cur.Raw)
		reply.Records = append(reply.Records, message.DeclarationRecord{
			Operator: operator,
			Version:  cur.Version,
			ApplyID:  cur.ApplyID,
			File:     []byte(cur.Raw),
		})
	}
	return append(actions, coordination.Send{To: from, Msg: reply})
}

func (m *Machine) mergeLocked(from state.NodeID, reply message.DeclarationReply) []coordination.Action {
	if m.peers.heard == nil {
		m.peers.heard = make(map[state.NodeID]bool)
	}
	m.peers.heard[from] = true
	var actions []coordination.Action
	for _, rec := range reply.Records {
		merged, err := m.set.MergePeer(rec)
		m.metrics.merged(merged, err)
		if err != nil {
			continue
		}
		// A peer has judged our apply before we could.
		if p := m.pending[rec.ApplyID]; p != nil && merged {
			actions = append(actions, m.settleLocked(rec.ApplyID, p.acceptance(rec.Version))...)
		}
	}
	return actions
}
