package gossip

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// newcomerBeats is for how many rounds an agent counts as new. Unknown news of an
// older one means that this node is the newcomer, and that is not urgent.
const newcomerBeats = 5

// Handle takes in a message. It returns the page that the message asks for or,
// while this node catches up, the pull of the next page.
func (g *Gossip) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	news, ok := msg.(message.LoadNews)
	if !ok {
		return nil
	}
	g.table.hear(from, now)
	g.noteOutside(now, &news)
	for i := range news.Loads {
		g.handleItem(now, news.Loads[i], news.Page)
	}
	var reply message.LoadNews
	switch {
	case news.Page:
		next, more := g.turnPage(news.Loads, news.After)
		if !more {
			return nil
		}
		reply = message.LoadNews{Pull: true, After: next}
	case news.Pull:
		g.noteListener(now, from)
		reply = g.page(now, news.After)
	default:
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.countLocked([]coordination.Action{coordination.Send{To: from, Msg: reply}})
}

func (g *Gossip) handleItem(now time.Time, item message.LoadItem, page bool) {
	id := item.Load.ID
	if id == "" || id == g.o.Self.ID {
		return
	}
	urgent := g.merge(now, item)
	if !urgent || page {
		return
	}
	g.mu.Lock()
	g.hot[id] = g.o.UrgentCopies
	g.mu.Unlock()
}

// merge takes in one load and reports whether it is urgent news. The item is a
// copy: the message may be in other hands too.
func (g *Gossip) merge(now time.Time, item message.LoadItem) (urgent bool) {
	load := &item.Load
	if !g.complete(load) || item.Age < 0 || item.Age >= g.o.Expiry || !g.concerns(load) {
		return false
	}
	old, known := g.view.Load(load.ID)
	if !g.table.accept(load.ID, version{load.Seq, item.Beat}, now.Add(-item.Age)) {
		return false
	}
	g.readers.note(now, load.ID, item.Age, &item.Read, false)
	g.view.Merge(now, *load, item.Age)
	if !known {
		return item.Beat < newcomerBeats
	}
	return urgentChange(&old, load)
}

// complete fills in what shortLocked left out. News of an agent that this node
// hasn't read of in the roster yet is of no use without it.
func (g *Gossip) complete(load *state.AgentLoad) bool {
	if load.Region != "" {
		return true
	}
	g.mu.Lock()
	m, known := g.rounds.members[load.ID]
	g.mu.Unlock()
	load.Addr, load.Region, load.Domain, load.Rack = m.Addr, m.Region, m.Domain, m.Rack
	return known
}

// concerns tells whether this node wants news of the agent. Agents hear of
// their own region: a job's tasks run in the region of its home. Entry hosts
// hear of all.
func (g *Gossip) concerns(load *state.AgentLoad) bool {
	return !g.o.Agent || load.Region == g.o.Self.Region
}

// urgentChange tells whether the new load makes a difference to whom tasks may
// be sent, and not only to who is the best choice.
func urgentChange(old, load *state.AgentLoad) bool {
	return old.Draining != load.Draining ||
		old.Ejected != load.Ejected ||
		old.Slots != load.Slots ||
		old.Addr != load.Addr ||
		old.Cores != load.Cores ||
		old.MemoryMB != load.MemoryMB ||
		old.Accelerators != load.Accelerators ||
		!slices.Equal(old.Services, load.Services)
}

// sameLoad tells whether two loads of one agent say the same.
func sameLoad(a, b *state.AgentLoad) bool {
	return !urgentChange(a, b) && a.Free == b.Free && a.Queued == b.Queued &&
		a.Region == b.Region && a.Domain == b.Domain && a.Rack == b.Rack
}
