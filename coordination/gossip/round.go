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

// rounds is what a node remembers from one round to the next.
type rounds struct {
	next       time.Time
	nextUrgent time.Time
	count      int
	// peers are the roster's members as of the last round.
	peers      []state.Member
	neighbours []state.Member
	// turn is where the next round starts among the neighbours.
	turn int
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

// readRosterLocked finds the nodes that this one sends to. It returns how many
// members the region has.
func (g *Gossip) readRosterLocked() int {
	r := &g.rounds
	r.peers = g.o.Peers()
	region := watch.InRegion(r.peers, g.o.Self.Region)
	r.neighbours = watch.Watchers(g.o.Self, region, watch.Count)
	return len(region)
}

func (g *Gossip) roundLocked(now time.Time) []coordination.Action {
	r := &g.rounds
	r.count++
	members := g.readRosterLocked()
	g.view.Prune(now)
	g.dropListenersLocked(now)
	entries := g.table.snapshot(now.Add(-g.o.Expiry), now.Add(-keepSilent*g.o.Expiry))
	r.catchingUp = r.catchingUp || 2*len(entries) < members
	var out []coordination.Action
	if g.o.Agent && g.own.set {
		g.own.beat++
		g.view.Merge(now, g.own.load, 0)
		out = g.pushLocked(now, entries)
	}
	if pull, ok := g.pullLocked(); ok {
		out = append(out, pull)
	}
	return out
}

// pushLocked sends the own load and the youngest others to the neighbours
// whose turn it is.
func (g *Gossip) pushLocked(now time.Time, entries []known) []coordination.Action {
	r := &g.rounds
	targets := min(g.o.Fanout, len(r.neighbours))
	items := g.youngestLocked(now, entries, targets)
	msg := message.LoadNews{Loads: items}
	out := make([]coordination.Action, 0, targets)
	for range targets {
		r.turn = (r.turn + 1) % len(r.neighbours)
		out = append(out, coordination.Send{To: r.neighbours[r.turn].ID, Msg: msg})
	}
	return out
}

// youngestLocked chooses what to pass on: first what was passed on least, then
// what is youngest. Old news is likely to be known already.
func (g *Gossip) youngestLocked(now time.Time, entries []known, copies int) []message.LoadItem {
	slices.SortFunc(entries, func(a, b known) int {
		if a.copies != b.copies {
			return cmp.Compare(a.copies, b.copies)
		}
		return b.said.Compare(a.said)
	})
	items := make([]message.LoadItem, 0, g.o.MaxItems)
	if mine, ok := g.ownItemLocked(); ok {
		items = append(items, mine)
	}
	var sent []state.NodeID
	for i := range entries {
		if len(items) >= g.o.MaxItems {
			break
		}
		if item, ok := g.item(now, &entries[i]); ok {
			items = append(items, item)
			sent = append(sent, entries[i].id)
		}
	}
	g.table.countCopies(sent, copies)
	return items
}

func (g *Gossip) ownItemLocked() (message.LoadItem, bool) {
	if !g.own.set {
		return message.LoadItem{}, false
	}
	return message.LoadItem{Load: g.own.load, Beat: g.own.beat}, true
}

// urgentRoundLocked passes urgent news on to random neighbours, and to the
// listeners, who have no other way to hear of it soon.
func (g *Gossip) urgentRoundLocked(now time.Time) []coordination.Action {
	targets := g.drawLocked(g.rounds.neighbours, g.o.Fanout)
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
			mine, _ := g.ownItemLocked()
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

// drawLocked draws up to n different members.
func (g *Gossip) drawLocked(from []state.Member, n int) []state.NodeID {
	out := make([]state.NodeID, 0, n)
	for _, i := range g.rng.Perm(len(from))[:min(n, len(from))] {
		out = append(out, from[i].ID)
	}
	return out
}

// pullLocked asks a random neighbour for the next page of its table. An agent
// that is not catching up does so only now and then: what it pulls was pushed
// to it already, as far as nothing was lost.
func (g *Gossip) pullLocked() (coordination.Action, bool) {
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
	return coordination.Send{To: to, Msg: message.LoadNews{Pull: true, After: r.cursors[region]}}, true
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
