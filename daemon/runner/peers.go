package runner

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// sweepEvery spaces the searches for peers to forget.
const sweepEvery = 10 * time.Second

// peers keeps the links' address book: members of the roster, and agents that
// are not members but whose loads were heard of (a newcomer during an outage of
// the log runs tasks before it is in the roster).
type peers struct {
	self state.NodeID

	mu sync.Mutex
	// The rest is guarded by mu.
	addrs  map[state.NodeID]string
	gone   map[state.NodeID]time.Time
	epoch  state.Epoch
	sweptA time.Time
}

func newPeers(self state.NodeID) *peers {
	return &peers{
		self:  self,
		addrs: make(map[state.NodeID]string),
		gone:  make(map[state.NodeID]time.Time),
	}
}

// follow takes over the members of a roster and notes who is no longer one.
func (p *peers) follow(links Links, r *roster.Roster, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Epoch() == p.epoch {
		return
	}
	p.epoch = r.Epoch()
	for _, m := range r.Members() {
		p.setLocked(links, m.ID, m.Addr)
		delete(p.gone, m.ID)
	}
	for id := range p.addrs {
		if _, ok := r.Member(id); ok {
			continue
		}
		if _, noted := p.gone[id]; !noted {
			p.gone[id] = now
		}
	}
}

// learn takes over the addresses of agents that a message speaks of.
func (p *peers) learn(links Links, msg message.Message) {
	switch m := msg.(type) {
	case message.LoadNews:
		p.mu.Lock()
		defer p.mu.Unlock()
		for i := range m.Loads {
			p.setLocked(links, m.Loads[i].Load.ID, m.Loads[i].Load.Addr)
		}
	case message.Report:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.setLocked(links, m.Load.ID, m.Load.Addr)
	}
}

func (p *peers) setLocked(links Links, id state.NodeID, addr string) {
	if id == "" || id == p.self || addr == "" || p.addrs[id] == addr {
		return
	}
	p.addrs[id] = addr
	links.SetPeer(id, addr)
}

// sweep forgets peers that left long ago.
func (p *peers) sweep(links Links, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.sweptA) < sweepEvery {
		return
	}
	p.sweptA = now
	for id, at := range p.gone {
		if now.Sub(at) < forgetAfter {
			continue
		}
		delete(p.gone, id)
		delete(p.addrs, id)
		links.Forget(id)
	}
}
