package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/member/watch"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// keepSilent is for how many expiries a silent agent's last sign of life is
// remembered, for those who judge whether to evict it.
const keepSilent = 10

// foreignPullEvery is how many pulls of an entry host go to its own region for
// each one that goes to another.
const foreignPullEvery = 4

// missedTurns is how many turns to hear from a watched member may pass before it
// is asked.
const missedTurns = 2

// endOfTable follows every id, so that the page after it is empty.
const endOfTable state.NodeID = "~"

// rounds is what a node remembers from one round to the next.
type rounds struct {
	next       time.Time
	nextUrgent time.Time
	count      int
	// peers and members are the roster's as of the last round.
	peers      []state.Member
	members    map[state.NodeID]state.Member
	neighbours []state.Member
	// watched are the members that this node watches.
	watched []watch.Watched
	// regionSize is how many members the own region has.
	regionSize int
	// turn and urgentTurn are the neighbours that were last sent to.
	turn       int
	urgentTurn int
	// cursors are the ids that the next pulls continue after, by region.
	cursors map[string]state.NodeID
	// pulled is the region of the last pull.
	pulled string
	// catchingUp is set until the whole table of a neighbour has been read, and
	// again when less than half of the region is known.
	catchingUp bool
}

// Tick returns what is due to be sent.
func (g *Gossip) Tick(now time.Time) []coordination.Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.rounds
	if r.next.IsZero() {
		// A random phase: hosts that start together don't send together.
		r.next = now.Add(time.Duration(g.rng.Int64N(int64(g.o.Interval))))
		g.readRosterLocked()
	}
	var out []coordination.Action
	if !now.Before(r.next) {
		r.next = later(r.next.Add(g.o.Interval), now)
		out = g.roundLocked(now)
	}
	if len(g.hot) > 0 && !now.Before(r.nextUrgent) {
		r.nextUrgent = now.Add(g.o.UrgentInterval)
		out = append(out, g.urgentRoundLocked(now)...)
	}
	return g.countLocked(out)
}

// readRosterLocked finds the nodes that this one sends to, if the roster has
// changed.
func (g *Gossip) readRosterLocked() {
	r := &g.rounds
	peers := g.o.Peers()
	if slices.Equal(peers, r.peers) {
		return
	}
	r.peers = peers
	r.members = make(map[state.NodeID]state.Member, len(peers))
	for i := range peers {
		r.members[peers[i].ID] = peers[i]
	}
	region := watch.InRegion(peers, g.o.Self.Region)
	r.regionSize = len(region)
	r.neighbours = watch.Watchers(g.o.Self, region, watch.Count)
	if g.o.Agent {
		r.watched = watch.WatchedBy(g.o.Self, region, watch.Count)
	}
}

func (g *Gossip) roundLocked(now time.Time) []coordination.Action {
	r := &g.rounds
	r.count++
	g.readRosterLocked()
	g.view.Prune(now)
	g.readers.prune(now.Add(-g.o.Expiry))
	g.dropListenersLocked(now)
	entries := g.table.snapshot(now.Add(-g.o.Expiry), now.Add(-keepSilent*g.o.Expiry))
	r.catchingUp = r.catchingUp || 2*len(entries) < r.regionSize
	var out []coordination.Action
	if g.o.Agent && g.own.set {
		g.own.beat++
		g.view.Merge(now, g.own.load, 0)
		out = g.pushLocked(now, entries)
	}
	if pull, ok := g.pullLocked(now); ok {
		out = append(out, pull)
	}
	return append(out, g.probesLocked(now)...)
}

// probesLocked asks watched members that missed two of their turns for a sign
// of life. Without it three lost messages in a row look like death, which among
// a thousand agents with sixteen watchers each is a matter of minutes on a bad
// network.
func (g *Gossip) probesLocked(now time.Time) []coordination.Action {
	r := &g.rounds
	turns := (len(r.neighbours) + g.o.Fanout - 1) / g.o.Fanout
	patience := time.Duration(missedTurns*turns) * g.o.Interval
	var out []coordination.Action
	for i := range r.watched {
		id := r.watched[i].ID
		if heard, ok := g.table.lastHeard(id); ok && now.Sub(heard) > patience {
			out = append(out, coordination.Send{To: id, Msg: message.LoadNews{Pull: true, After: endOfTable}})
		}
	}
	return out
}

// pushLocked sends the own load and a choice of others to the neighbours whose
// turn it is.
func (g *Gossip) pushLocked(now time.Time, entries []known) []coordination.Action {
	r := &g.rounds
	targets := min(g.o.Fanout, len(r.neighbours))
	msg := message.LoadNews{Loads: g.choiceLocked(now, entries), Read: g.outsidePosition(now)}
	out := make([]coordination.Action, 0, targets)
	for range targets {
		r.turn = (r.turn + 1) % len(r.neighbours)
		out = append(out, coordination.Send{To: r.neighbours[r.turn].ID, Msg: msg})
	}
	return out
}

// choiceLocked chooses what to pass on beside the own load: the agents of which
// this node has learnt most, in time, since it last passed on news of them. The
// youngest news alone would go round in the neighbourhood of each agent and
// leave the far ones with nothing.
func (g *Gossip) choiceLocked(now time.Time, entries []known) []message.LoadItem {
	slices.SortFunc(entries, func(a, b known) int {
		return cmp.Or(cmp.Compare(b.progress(), a.progress()), compareIDs(a.id, b.id))
	})
	items := make([]message.LoadItem, 0, g.o.MaxItems)
	if mine, ok := g.ownItemLocked(now); ok {
		items = append(items, g.shortLocked(mine))
	}
	chosen := 0
	for len(items) < g.o.MaxItems && chosen < len(entries) {
		e := &entries[chosen]
		chosen++
		if item, ok := g.item(now, e); ok {
			items = append(items, g.shortLocked(item))
		}
	}
	g.table.notePassedOn(entries[:chosen])
	return items
}

// progress is how much newer the known news is than what was passed on.
func (k *known) progress() time.Duration { return k.said.Sub(k.passedOn) }

// shortLocked leaves out what every reader of the roster knows of a member. It
// is almost half of the bytes of ordinary news.
func (g *Gossip) shortLocked(item message.LoadItem) message.LoadItem {
	m, known := g.rounds.members[item.Load.ID]
	l := &item.Load
	if known && l.Addr == m.Addr && l.Region == m.Region && l.Domain == m.Domain && l.Rack == m.Rack {
		l.Addr, l.Region, l.Domain, l.Rack = "", "", "", ""
	}
	return item
}

func (g *Gossip) ownItemLocked(now time.Time) (message.LoadItem, bool) {
	if !g.own.set {
		return message.LoadItem{}, false
	}
	return message.LoadItem{Load: g.own.load, Beat: g.own.beat, Read: g.ownPosition(now)}, true
}

// urgentRoundLocked passes urgent news on to the neighbours whose turn it is,
// and to the listeners, who have no other way to hear of it soon. Taking turns
// reaches every neighbour once: a node that few others send to must not be
// missed by the draw.
func (g *Gossip) urgentRoundLocked(now time.Time) []coordination.Action {
	r := &g.rounds
	var targets []state.NodeID
	for range min(g.o.Fanout, len(r.neighbours)) {
		r.urgentTurn = (r.urgentTurn + 1) % len(r.neighbours)
		targets = append(targets, r.neighbours[r.urgentTurn].ID)
	}
	for id := range g.listeners {
		targets = append(targets, id)
	}
	slices.Sort(targets)
	items := g.hotItemsLocked(now)
	if len(items) == 0 {
		return nil
	}
	msg := message.LoadNews{Loads: items}
	out := make([]coordination.Action, 0, len(targets))
	for _, to := range slices.Compact(targets) {
		out = append(out, coordination.Send{To: to, Msg: msg})
	}
	return out
}

func (g *Gossip) hotItemsLocked(now time.Time) []message.LoadItem {
	ids := make([]state.NodeID, 0, len(g.hot))
	for id := range g.hot {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var items []message.LoadItem
	for _, id := range ids[:min(len(ids), g.o.PageItems)] {
		if g.hot[id] -= g.o.Fanout; g.hot[id] <= 0 {
			delete(g.hot, id)
		}
		if id == g.o.Self.ID {
			mine, _ := g.ownItemLocked(now)
			items = append(items, mine)
			continue
		}
		e, ok := g.table.get(id)
		if !ok {
			continue
		}
		if item, ok := g.item(now, &known{id, e}); ok {
			items = append(items, item)
		}
	}
	return items
}

// pullLocked asks a random neighbour for the next page of its table. An agent
// that is not catching up does so only now and then: what it pulls was pushed
// to it already, as far as nothing was lost.
func (g *Gossip) pullLocked(now time.Time) (coordination.Action, bool) {
	r := &g.rounds
	region := g.o.Self.Region
	among := r.neighbours
	if g.o.Agent {
		if !r.catchingUp && r.count%g.o.PullEvery != 0 {
			return nil, false
		}
	} else if other, ok := g.foreignRegionLocked(); ok && r.count%foreignPullEvery == 0 {
		region = other
		among = watch.Watchers(g.o.Self, watch.InRegion(r.peers, other), watch.Count)
	}
	if len(among) == 0 {
		return nil, false
	}
	r.pulled = region
	to := among[g.rng.IntN(len(among))].ID
	return coordination.Send{To: to, Msg: message.LoadNews{Pull: true, After: r.cursors[region], Read: g.outsidePosition(now)}}, true
}

// foreignRegionLocked draws one of the regions other than the own.
func (g *Gossip) foreignRegionLocked() (string, bool) {
	var regions []string
	for i := range g.rounds.peers {
		name := g.rounds.peers[i].Region
		if name != g.o.Self.Region && !slices.Contains(regions, name) {
			regions = append(regions, name)
		}
	}
	if len(regions) == 0 {
		return "", false
	}
	return regions[g.rng.IntN(len(regions))], true
}
