package guard

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	// keptRecords and keptBytes bound the roster records kept for peers.
	keptRecords = 4096
	keptBytes   = 4 << 20
	// replyRecords and replyBytes bound one RosterReply.
	replyRecords = 256
	replyBytes   = 1 << 20
	// keptAsks is how many RosterAsks are remembered to match their replies.
	keptAsks = 32
	// freshnessPart is the part of Blind after which peers are asked whether
	// they have seen the log, freshnessTries how often in that time.
	freshnessPart  = 2
	freshnessTries = 16
)

// news is what the agent passes on of the log, and how fresh its own view is.
type news struct {
	mu sync.Mutex
	// All below is guarded by mu.
	records []message.RosterRecord
	bytes   int
	// started is when the first call came. seen is when the log is known to have
	// ended at the roster's offset; zero until that is known.
	started time.Time
	seen    time.Time
	seq     uint64
	asked   map[uint64]time.Time
	lastAsk map[state.NodeID]time.Time
	// turn picks the peer to ask next.
	turn int
}

// touch notes the time of a call.
func (g *Guard) touch(now time.Time) {
	old := g.latest.Load()
	if n := now.UnixNano(); n > old {
		g.latest.Store(n)
	}
	if old != 0 {
		return
	}
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	if g.news.started.IsZero() {
		g.news.started = now
	}
}

// SawLogEnd tells that a read of the roster stream which began at asOf found
// last to be its last record; zero if it has none. Without such news for
// Options.Blind the guard grants nothing any more, so the driver calls it after
// every read that reached the end, also when there was nothing new.
func (g *Guard) SawLogEnd(asOf time.Time, last int64) {
	if g.roster.Load().Offset() < last {
		return
	}
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	g.news.sawLocked(asOf)
}

func (n *news) sawLocked(asOf time.Time) {
	if asOf.After(n.seen) {
		n.seen = asOf
	}
}

// freshLocked is the time from which Blind counts. It is the start at least:
// whatever record ends an epoch of this agent comes after its join, which it
// asked for after it had started.
func (n *news) freshLocked() time.Time {
	if n.seen.After(n.started) {
		return n.seen
	}
	return n.started
}

// blind reports whether the agent has been without news of the log for too long.
//
// A pair cut off from the log and from all who have seen it goes on granting at
// its epoch. Others may open the share once its claims must have expired, and
// they can reckon that only if the pair stops by itself.
func (g *Guard) blind(now time.Time) bool {
	if g.opts.Blind == 0 || g.disabled.freshness {
		return false
	}
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	return now.Sub(g.news.freshLocked()) > g.opts.Blind
}

// harmlessAt is when the claims of an epoch that is seen to end now have all
// expired, even if its members haven't heard of the end.
func (g *Guard) harmlessAt(now time.Time) time.Time {
	if g.opts.Blind == 0 {
		return time.Time{}
	}
	return now.Add(g.opts.Blind + g.keep)
}

// ApplyRoster takes a record of the roster stream, from the log or from a peer.
// Records that were applied before are passed over. When records are missing,
// peers are asked for them and this one must be handed in again later.
func (g *Guard) ApplyRoster(now time.Time, offset int64, data []byte) []coordination.Action {
	g.touch(now)
	var acts actions
	g.applyRecord(now, offset, data, &acts)
	return acts
}

func (g *Guard) applyRecord(now time.Time, offset int64, data []byte, acts *actions) {
	g.apply.Lock()
	defer g.apply.Unlock()
	old := g.roster.Load()
	next, change, err := g.applyTo(old, offset, data)
	if errors.Is(err, roster.ErrGap) {
		g.metrics.gaps.Inc()
		g.askPeers(now, roster.Pair{}, acts)
		return
	}
	if next == old {
		return
	}
	if err != nil {
		g.metrics.badRecords.Inc()
	}
	g.roster.Store(next)
	g.news.keep(message.RosterRecord{Offset: offset, Data: data})
	g.follow(now, next, change, acts)
}

// follow carries a change over to the shares of this agent's region.
func (g *Guard) follow(now time.Time, r *roster.Roster, change roster.Change, acts *actions) {
	leaving := change.Member.ID == g.self && change.Kind != roster.KindJoin
	switch change.Kind {
	case roster.KindSnapshot:
		g.adoptAll(now, r, acts)
	case roster.KindConfirmLost:
		g.confirmAll(now, change)
	}
	for _, c := range change.Shares {
		if c.Region == g.opts.Self.Region {
			g.walk(now, c, leaving, acts)
		}
	}
	if leaving {
		g.left.Store(true)
	}
}

func (g *Guard) walk(now time.Time, c roster.ShareChange, leaving bool, acts *actions) {
	s := &g.shares[c.Share]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.walk(g.self, c.After, g.harmlessAt(now))
	for attempt, v := range s.closed {
		if v.epoch < s.pair.Epoch {
			delete(s.closed, attempt)
		}
	}
	if !g.disabled.homeRecheck {
		g.endStaleLocked(s, c.Share, now, acts)
	}
	g.handoverLocked(s, c.Share, leaving && c.Before.Has(g.self))
	g.needPullLocked(s, c.Share, now, acts)
	g.unparkLocked(s, c.Share, now, acts)
}

// endStaleLocked ends the asks of an epoch that is over for this agent. None of
// them can be granted any more, since this agent alone could have done so.
func (g *Guard) endStaleLocked(s *share, index uint32, now time.Time, acts *actions) {
	for _, a := range sortedAsks(s) {
		if a.epoch != s.pair.Epoch && s.asks[a.key] == a {
			g.endLocked(s, index, now, a, refuse(state.ReasonStaleEpoch), acts)
		}
	}
}

func (g *Guard) adoptAll(now time.Time, r *roster.Roster, acts *actions) {
	for i := range g.shares {
		s := &g.shares[i]
		s.mu.Lock()
		s.adopt(r.Pair(g.opts.Self.Region, uint32(i)), g.harmlessAt(now))
		g.needPullLocked(s, uint32(i), now, acts)
		s.mu.Unlock()
	}
}

func (g *Guard) confirmAll(now time.Time, change roster.Change) {
	expired := now.Add(g.keep)
	for i := range g.shares {
		s := &g.shares[i]
		s.mu.Lock()
		s.confirmLost(now, expired, change.Lost, change.AcceptRerun || g.disabled.lostWait)
		if s.complete() {
			s.pull = nil
			g.completedLocked(s, now)
		}
		s.mu.Unlock()
	}
}

func (n *news) keep(r message.RosterRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.records = append(n.records, r)
	n.bytes += len(r.Data)
	for len(n.records) > 1 && (len(n.records) > keptRecords || n.bytes > keptBytes) {
		n.bytes -= len(n.records[0].Data)
		n.records = n.records[1:]
	}
}

// askRoster asks a peer that has shown to be ahead, once per AskRetry at most.
func (g *Guard) askRoster(now time.Time, to state.NodeID, acts *actions) {
	n := &g.news
	n.mu.Lock()
	defer n.mu.Unlock()
	if to == g.self || to == "" || now.Sub(n.lastAsk[to]) < g.opts.AskRetry {
		return
	}
	if n.asked == nil || len(n.asked) >= keptAsks {
		n.asked = make(map[uint64]time.Time)
		n.lastAsk = make(map[state.NodeID]time.Time)
	}
	n.seq++
	n.asked[n.seq] = now
	n.lastAsk[to] = now
	g.metrics.rosterAsks.Inc()
	acts.send(to, message.RosterAsk{After: state.Epoch(g.roster.Load().Offset()), Seq: n.seq})
}

// askPeers asks the pair's other members, and one more member in turn.
func (g *Guard) askPeers(now time.Time, p roster.Pair, acts *actions) {
	g.askRoster(now, p.Home, acts)
	g.askRoster(now, p.Witness, acts)
	members := g.roster.Load().Members()
	if len(members) == 0 {
		return
	}
	g.news.mu.Lock()
	g.news.turn++
	to := members[g.news.turn%len(members)].ID
	g.news.mu.Unlock()
	g.askRoster(now, to, acts)
}

func (g *Guard) onRosterAsk(now time.Time, from state.NodeID, m message.RosterAsk, acts *actions) {
	n := &g.news
	n.mu.Lock()
	defer n.mu.Unlock()
	reply := message.RosterReply{Seq: m.Seq, Fresh: !n.seen.IsZero(), Age: now.Sub(n.seen)}
	size := 0
	for _, r := range n.records {
		if r.Offset <= int64(m.After) {
			continue
		}
		if len(reply.Records) >= replyRecords || size+len(r.Data) > replyBytes && size > 0 {
			reply.Fresh = false
			break
		}
		reply.Records = append(reply.Records, r)
		size += len(r.Data)
	}
	acts.send(from, reply)
}

func (g *Guard) onRosterReply(now time.Time, m message.RosterReply, acts *actions) {
	for _, r := range m.Records {
		g.applyRecord(now, r.Offset, r.Data, acts)
	}
	if m.Fresh {
		g.refresh(m)
	}
}

// refresh takes over a peer's view of the log's end. It counts from when the
// ask was sent, because the reply may have been long on its way, and only if
// the roster has come at least as far as the peer's.
func (g *Guard) refresh(m message.RosterReply) {
	n := &g.news
	n.mu.Lock()
	defer n.mu.Unlock()
	asked, ok := n.asked[m.Seq]
	if !ok || m.Age < 0 {
		return
	}
	if k := len(m.Records); k > 0 && g.roster.Load().Offset() < m.Records[k-1].Offset {
		return
	}
	n.sawLocked(asked.Add(-m.Age))
}

// seekFreshness asks peers for news of the log when it has been long without.
func (g *Guard) seekFreshness(now time.Time, acts *actions) {
	n := &g.news
	n.mu.Lock()
	late := g.opts.Blind > 0 && now.Sub(n.freshLocked()) > g.opts.Blind/freshnessPart
	due := now.Sub(n.asked[n.seq]) > g.opts.Blind/freshnessPart/freshnessTries
	n.mu.Unlock()
	if late && due {
		g.askPeers(now, roster.Pair{}, acts)
	}
}
