package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/member/watch"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// options make the ways that the chosen one is compared with.
type options struct {
	interval time.Duration
	// fanout is how many random nodes get news each interval.
	fanout int
	// items bounds the loads in a message; zero sends the whole table.
	items int
	// pull asks for the receiver's table in return.
	pull bool
	// region keeps to nodes of the own region.
	region bool
	// flood passes each change on at once, to the fixed neighbours.
	flood bool
}

// simple is a node of such a way. It knows no urgent news and no pages.
type simple struct {
	o          options
	self       state.NodeID
	rng        *rand.Rand
	peers      []state.NodeID
	neighbours []state.NodeID
	table      map[state.NodeID]*told
	next       time.Time
	fresh      []state.NodeID // changed since the last flood
}

type told struct {
	load state.AgentLoad
	beat uint32
	said time.Time
}

func simpleWay(o options) func([]state.Member, int, uint64) spreader {
	return func(members []state.Member, self int, seed uint64) spreader {
		n := &simple{
			o:     o,
			self:  members[self].ID,
			rng:   rand.New(rand.NewPCG(seed, uint64(self))),
			table: make(map[state.NodeID]*told),
		}
		region := watch.InRegion(members, members[self].Region)
		for _, m := range watch.Watchers(members[self], region, watch.Count) {
			n.neighbours = append(n.neighbours, m.ID)
		}
		if !o.region {
			region = members
		}
		for i := range region {
			if region[i].ID != n.self {
				n.peers = append(n.peers, region[i].ID)
			}
		}
		return n
	}
}

func (n *simple) SetOwn(now time.Time, load state.AgentLoad) {
	t, ok := n.table[n.self]
	if !ok {
		t = &told{}
		n.table[n.self] = t
	}
	urgent := t.load.Draining != load.Draining
	t.load = load
	t.said = now
	if urgent {
		n.fresh = append(n.fresh, n.self)
	}
}

func (n *simple) Load(id state.NodeID) (state.AgentLoad, bool) {
	t, ok := n.table[id]
	if !ok {
		return state.AgentLoad{}, false
	}
	return t.load, true
}

func (n *simple) LastHeard(id state.NodeID) (time.Time, bool) {
	t, ok := n.table[id]
	if !ok {
		return time.Time{}, false
	}
	return t.said, true
}

func (n *simple) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	news := msg.(message.LoadNews)
	for i := range news.Loads {
		n.merge(now, &news.Loads[i])
	}
	if !news.Pull {
		return nil
	}
	reply := message.LoadNews{Loads: n.items(now, n.ids())}
	return []coordination.Action{coordination.Send{To: from, Msg: reply}}
}

func (n *simple) merge(now time.Time, item *message.LoadItem) {
	id := item.Load.ID
	if id == n.self {
		return
	}
	t, known := n.table[id]
	if !known {
		t = &told{}
		n.table[id] = t
	} else if item.Load.Seq < t.load.Seq || item.Load.Seq == t.load.Seq && item.Beat <= t.beat {
		return
	}
	t.load = item.Load
	t.beat = item.Beat
	t.said = now.Add(-item.Age)
	n.fresh = append(n.fresh, id)
}

func (n *simple) Tick(now time.Time) []coordination.Action {
	if n.next.IsZero() {
		n.next = now.Add(time.Duration(n.rng.Int64N(int64(n.o.interval))))
	}
	var out []coordination.Action
	if !now.Before(n.next) {
		n.next = n.next.Add(n.o.interval)
		n.beat(now)
		out = n.round(now)
	}
	if n.o.flood && len(n.fresh) > 0 {
		msg := message.LoadNews{Loads: n.items(now, n.fresh)}
		for _, to := range n.neighbours {
			out = append(out, coordination.Send{To: to, Msg: msg})
		}
	}
	n.fresh = n.fresh[:0]
	return out
}

func (n *simple) beat(now time.Time) {
	own := n.table[n.self]
	own.beat++
	own.said = now
	n.fresh = append(n.fresh, n.self)
}

func (n *simple) round(now time.Time) []coordination.Action {
	ids := n.ids()
	if n.o.items > 0 && len(ids) > n.o.items {
		slices.SortFunc(ids, func(a, b state.NodeID) int {
			return cmp.Or(n.table[b].said.Compare(n.table[a].said), cmp.Compare(a, b))
		})
		ids = ids[:n.o.items]
	}
	msg := message.LoadNews{Loads: n.items(now, ids), Pull: n.o.pull}
	out := make([]coordination.Action, 0, n.o.fanout)
	for range n.o.fanout {
		to := n.peers[n.rng.IntN(len(n.peers))]
		out = append(out, coordination.Send{To: to, Msg: msg})
	}
	return out
}

func (n *simple) ids() []state.NodeID {
	ids := make([]state.NodeID, 0, len(n.table))
	for id := range n.table {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *simple) items(now time.Time, ids []state.NodeID) []message.LoadItem {
	out := make([]message.LoadItem, 0, len(ids))
	for _, id := range ids {
		t := n.table[id]
		out = append(out, message.LoadItem{Load: t.load, Beat: t.beat, Age: max(0, now.Sub(t.said))})
	}
	return out
}
