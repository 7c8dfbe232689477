package gossip

import (
	"sort"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// listenFor is for how many pulls' worth of rounds a listener gets urgent news
// after its last pull.
const listenFor = 10

// maxListeners bounds the nodes outside the roster that get urgent news. Any
// node can pull; without the bound a stream of pulls under new names would grow
// the memory and make each urgent round longer.
const maxListeners = 64

// page returns the part of the table that follows an id, this node's own load
// included.
func (g *Gossip) page(now time.Time, after state.NodeID) message.LoadNews {
	entries := g.table.snapshot(now.Add(-g.o.Expiry), time.Time{})
	g.mu.Lock()
	mine, hasOwn := g.ownItemLocked(now)
	g.mu.Unlock()
	if hasOwn {
		entries = insertOwn(entries, &mine)
	}
	first := sort.Search(len(entries), func(i int) bool { return entries[i].id > after })
	last := min(first+g.o.PageItems, len(entries))
	items := make([]message.LoadItem, 0, last-first)
	for i := range entries[first:last] {
		e := &entries[first+i]
		if hasOwn && e.id == mine.Load.ID {
			items = append(items, mine)
			continue
		}
		if item, ok := g.item(now, e); ok {
			items = append(items, item)
		}
	}
	return message.LoadNews{Loads: items, Page: true, After: after, Read: g.outsidePosition(now)}
}

func insertOwn(entries []known, mine *message.LoadItem) []known {
	at := sort.Search(len(entries), func(i int) bool { return entries[i].id >= mine.Load.ID })
	entries = append(entries, known{})
	copy(entries[at+1:], entries[at:])
	entries[at] = known{id: mine.Load.ID}
	return entries
}

// item returns an entry as it is passed on.
func (g *Gossip) item(now time.Time, e *known) (message.LoadItem, bool) {
	load, ok := g.view.Load(e.id)
	if !ok {
		return message.LoadItem{}, false
	}
	age := max(0, now.Sub(e.said))
	return message.LoadItem{Load: load, Beat: e.version.beat, Age: age, Read: g.readers.saidAt(e.id, e.said)}, true
}

// turnPage moves the cursor past the end of the page that came, or back to the
// start after the last page. A node that catches up asks for the next page at
// once: more says so. The cursor only grows, so that this comes to an end.
func (g *Gossip) turnPage(items []message.LoadItem, after state.NodeID) (next state.NodeID, more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.rounds
	region := r.pulled
	if len(items) > 0 {
		next = items[len(items)-1].Load.ID
		region = items[0].Load.Region
	}
	if r.cursors[region] != after {
		return "", false // a repeated or late page
	}
	if next <= after {
		r.cursors[region] = ""
		r.catchingUp = false
		return "", false
	}
	r.cursors[region] = next
	return next, r.catchingUp
}

// noteListener remembers a node outside the roster that pulls: an entry host,
// or an agent that couldn't join. Nobody sends to those of himself.
func (g *Gossip) noteListener(now time.Time, from state.NodeID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, member := g.rounds.members[from]; member {
		return
	}
	_, known := g.listeners[from]
	if known || len(g.listeners) < maxListeners {
		g.listeners[from] = now
	}
}

func (g *Gossip) dropListenersLocked(now time.Time) {
	limit := time.Duration(listenFor) * g.o.Interval
	for id, at := range g.listeners {
		if now.Sub(at) > limit {
			delete(g.listeners, id)
		}
	}
}
