package main

import (
	"math/rand/v2"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/member/watch"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

const (
	// relaysEach is how many relays a failure domain has: one and a spare.
	relaysEach = 2
	// relayInterval is between two rounds of an agent and of a relay.
	relayInterval = time.Second
	// relayItems bounds the loads that a relay sends to a member in a round.
	relayItems = 12
)

// relay is a node of the way by relays: each agent tells the relays of its
// domain, these tell the relays of the other domains, and each relay its domain.
// It has no answer to a dead relay but the spare, and no pages.
type relay struct {
	simple
	// relays are those of the own domain, this node among them if it is one.
	relays []state.NodeID
	// others are the relays of the other domains, and domain the members of the
	// own one. Both are empty in an agent that is no relay.
	others []state.NodeID
	domain []state.NodeID
	// turn is the place in the table that the next round goes on from.
	turn int
	// urgent has been heard of since the last step.
	urgent map[state.NodeID]bool
	gone   map[state.NodeID]bool
}

func relays(members []state.Member, self int, seed uint64) spreader {
	me := members[self]
	n := &relay{urgent: make(map[state.NodeID]bool), gone: make(map[state.NodeID]bool)}
	n.self = me.ID
	n.rng = rand.New(rand.NewPCG(seed, uint64(self)))
	n.table = make(map[state.NodeID]*told)
	for name, domain := range byDomain(watch.InRegion(members, me.Region)) {
		first := watch.Rank(name, domain)[:min(relaysEach, len(domain))]
		for i := range first {
			if name == me.Domain {
				n.relays = append(n.relays, first[i].ID)
			} else {
				n.others = append(n.others, first[i].ID)
			}
		}
		if name == me.Domain {
			n.domain = idsOf(domain)
		}
	}
	if !n.isRelay(me.ID) {
		n.others, n.domain = nil, nil
	}
	return n
}

func byDomain(region []state.Member) map[string][]state.Member {
	out := make(map[string][]state.Member)
	for i := range region {
		out[region[i].Domain] = append(out[region[i].Domain], region[i])
	}
	return out
}

func idsOf(members []state.Member) []state.NodeID {
	out := make([]state.NodeID, len(members))
	for i := range members {
		out[i] = members[i].ID
	}
	return out
}

func (n *relay) isRelay(id state.NodeID) bool {
	for _, r := range n.relays {
		if r == id {
			return true
		}
	}
	return false
}

func (n *relay) SetOwn(now time.Time, load state.AgentLoad) {
	n.simple.SetOwn(now, load)
	n.noteUrgent(load)
}

// noteUrgent notes that an agent drains, once.
func (n *relay) noteUrgent(load state.AgentLoad) {
	if load.Draining && !n.gone[load.ID] {
		n.gone[load.ID] = true
		n.urgent[load.ID] = true
	}
}

func (n *relay) Handle(now time.Time, _ state.NodeID, msg message.Message) []coordination.Action {
	news := msg.(message.LoadNews)
	for i := range news.Loads {
		n.merge(now, &news.Loads[i])
		n.noteUrgent(news.Loads[i].Load)
	}
	return nil
}

func (n *relay) Tick(now time.Time) []coordination.Action {
	n.fresh = n.fresh[:0]
	if n.next.IsZero() {
		n.next = now.Add(time.Duration(n.rng.Int64N(int64(relayInterval))))
	}
	var out []coordination.Action
	if !now.Before(n.next) {
		n.next = n.next.Add(relayInterval)
		n.beat(now)
		out = n.send(now, []state.NodeID{n.self}, n.relays)
		out = append(out, n.relayRound(now)...)
	}
	for id := range n.urgent {
		out = append(out, n.send(now, []state.NodeID{id}, n.relays, n.others, n.domain)...)
	}
	clear(n.urgent)
	return out
}

// relayRound passes the domain's loads on to the other relays, and the next part
// of the whole table to the domain.
func (n *relay) relayRound(now time.Time) []coordination.Action {
	if len(n.domain) == 0 {
		return nil
	}
	out := n.send(now, n.known(n.domain), n.others)
	ids := n.ids()
	part := make([]state.NodeID, 0, relayItems)
	for range min(relayItems, len(ids)) {
		n.turn = (n.turn + 1) % len(ids)
		part = append(part, ids[n.turn])
	}
	return append(out, n.send(now, part, n.domain)...)
}

func (n *relay) known(ids []state.NodeID) []state.NodeID {
	out := make([]state.NodeID, 0, len(ids))
	for _, id := range ids {
		if _, ok := n.table[id]; ok {
			out = append(out, id)
		}
	}
	return out
}

func (n *relay) send(now time.Time, ids []state.NodeID, lists ...[]state.NodeID) []coordination.Action {
	msg := message.LoadNews{Loads: n.items(now, ids)}
	var out []coordination.Action
	for _, list := range lists {
		for _, to := range list {
			if to != n.self {
				out = append(out, coordination.Send{To: to, Msg: msg})
			}
		}
	}
	return out
}
