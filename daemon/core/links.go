// Package core holds the parts that entries and agents share: the set of links to agents, the
// agent registry, the followers of keyed partitions, the drain state, the metrics, and the driver
// of a shard's state machine.
package core

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/subset"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
	"github.com/shallotstep/shallotstep/transport/peer"
)

const (
	// downTimeout is how long a link may be down before another agent is linked in its place.
	// A lost link is dialled again within 0.3 s, and a restarted process is back within a
	// second.
	downTimeout = time.Second
	// retireDelay is the minimum time for which a link is kept once it is no longer wanted:
	// events of the last orders sent on it may still be in flight.
	retireDelay = time.Second
	// reconcileInterval is the interval between two comparisons of the links with the wanted
	// ones.
	reconcileInterval = 150 * time.Millisecond
)

// linkUser is the process that a LinkSet keeps links for. The set may call its methods at any time,
// also during a call of the user to the set, so the user must not hold a lock of its own then.
type linkUser interface {
	// Share returns the hash buckets that the process holds. The choice of agents depends on
	// them.
	Share() subset.Share
	// Required returns agents that have to be linked even if they are not in the subset.
	Required() []string
	// MayHaveRunsAt reports whether an agent may have a run of this process, or a run end that
	// is not settled.
	MayHaveRunsAt(node string) bool
}

// WorkPlacer places work on the linked agents. It is implemented by owner.Fleet.
type WorkPlacer interface {
	// SetRetired sets whether an agent gets no new work, because its link is about to end or
	// exists only because the agent is required.
	SetRetired(node string, retired bool)
	// FreeShare returns the free share of the cores of some agents, between 0 and 1.
	FreeShare(nodes []string) float64
}

// AgentLink is a link to an agent.
type AgentLink interface {
	Close()
	// Up reports whether frames can be sent and received.
	Up() bool
}

// LinkSet knows the registered agents. While it is open it keeps links to a subset of them, to
// the agents that its user requires, and to agents that can run what recent jobs need. It is safe
// for concurrent use.
type LinkSet struct {
	dial    func(node string, reg Registration) AgentLink
	user    linkUser
	placer  WorkPlacer
	metrics *Metrics
	// size is the size of the subset; zero or less means all agents.
	size int

	// changeMu is held while links are dialled and closed. Closing a link waits for its
	// handler, which uses the set, so mu must not be held meanwhile.
	changeMu sync.Mutex

	mu sync.Mutex
	// All fields below are guarded by mu.

	links map[string]*managedLink
	known map[string]Registration
	// order holds the known agents in order of preference, computed for share. nil means that
	// it has to be computed again.
	order []string
	share subset.Share
	// extraAgents holds the agents that the expander has added to the subset.
	extraAgents []string
	expander    subset.Expander
	needs       needs
	// drained holds the failure domains in which no new work is started.
	drained drains.State
	// orphansSeen is set once an agent has announced run ends that only the owners of their
	// shards can settle.
	orphansSeen bool
	// registryRead is set once the registry has been read.
	registryRead bool
	// told has the known agents that only another process has named.
	told   map[string]bool
	isOpen bool
	// dialled is set once the links that the registry asks for were dialled after the set was
	// opened.
	dialled bool
}

// managedLink is a link and its state. Guarded by LinkSet.mu.
type managedLink struct {
	AgentLink
	addr string
	// downSince is when the link was first seen down. Zero means that it was up when it was
	// last checked, or was not checked yet.
	downSince time.Duration
	// retiredAt is when the link stopped being wanted. Zero means that it is wanted.
	retiredAt time.Duration
	// assignable is set while new work may be placed on the agent.
	assignable bool
}

// NewLinkSet returns a set that is not open. size is the size of the subset; zero means all
// agents. dial starts a link to an agent.
func NewLinkSet(size int, user linkUser, placer WorkPlacer, m *Metrics, dial func(node string, reg Registration) AgentLink) *LinkSet {
	return &LinkSet{
		dial: dial, user: user, placer: placer, metrics: m, size: size,
		links: make(map[string]*managedLink), known: make(map[string]Registration),
		told:     make(map[string]bool),
		expander: subset.NewExpander(size), needs: make(needs),
	}
}

// Maintain reconciles the links every reconcileInterval until the context ends.
func (l *LinkSet) Maintain(ctx context.Context) {
	for pause.For(ctx, reconcileInterval) == nil {
		l.Reconcile(bootclock.Now())
	}
}

// Apply applies a record of the registry and reconciles the links.
func (l *LinkSet) Apply(r store.Record) {
	l.applyRecord(r)
	l.Reconcile(bootclock.Now())
}

// IsOpen reports whether the set is open.
func (l *LinkSet) IsOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isOpen
}

// NumWanted returns the number of wanted links. It returns false until they are known: the registry
// has been read, and its agents were dialled since the set was opened.
func (l *LinkSet) NumWanted() (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := 0
	for _, k := range l.links {
		if k.retiredAt == 0 {
			wanted++
		}
	}
	return wanted, l.dialled
}

// AllWantedUp reports whether all wanted links are up.
func (l *LinkSet) AllWantedUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		if k.retiredAt == 0 && !k.Up() {
			return false
		}
	}
	return true
}

// sizeLocked returns the number of agents in the subset.
func (l *LinkSet) sizeLocked() int {
	if l.size <= 0 {
		return len(l.known)
	}
	return l.size
}

// Open links the wanted agents, and from then on those that are registered later.
func (l *LinkSet) Open() {
	l.mu.Lock()
	wasOpen := l.isOpen
	l.isOpen = true
	l.mu.Unlock()
	if !wasOpen {
		l.Reconcile(bootclock.Now())
	}
}

// Close closes all links. The agents remain known, and the set can be opened again.
func (l *LinkSet) Close() {
	l.changeMu.Lock()
	defer l.changeMu.Unlock()
	l.mu.Lock()
	l.isOpen, l.dialled = false, false
	links := slices.Collect(maps.Keys(l.links))
	l.mu.Unlock()
	for _, node := range links {
		l.Drop(node)
	}
}

// recordRefusal records that a job found too little free capacity, so that the subset may be
// expanded.
func (l *LinkSet) recordRefusal(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expander.RecordRefusal(now)
}

// SetDrained sets which failure domains are drained. Their agents stay linked, since their runs
// continue, and other agents are linked in addition.
func (l *LinkSet) SetDrained(s drains.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = s
}

// SendAll calls Send for each linked agent.
func (l *LinkSet) SendAll(fill func(*corepb.ToAgent)) {
	l.mu.Lock()
	nodes := slices.Collect(maps.Keys(l.links))
	l.mu.Unlock()
	for _, node := range nodes {
		l.Send(node, fill)
	}
}

// replace dials an agent at its registered address, after closing its old link if there is one.
func (l *LinkSet) replace(node string, reg Registration, assignable bool) {
	l.Drop(node)
	link := l.dial(node, reg)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[node] = &managedLink{AgentLink: link, addr: reg.LinkAddr, assignable: assignable}
}

// Drop closes the link to an agent, if there is one.
func (l *LinkSet) Drop(node string) {
	l.mu.Lock()
	link := l.links[node]
	delete(l.links, node)
	l.mu.Unlock()
	if link != nil {
		link.Close()
	}
}

// Get returns the link to an agent, or nil if there is none.
func (l *LinkSet) Get(node string) *peer.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[node]
	if k == nil {
		return nil
	}
	link, _ := k.AgentLink.(*peer.Link)
	return link
}

// AnyUp reports whether at least one link is up.
func (l *LinkSet) AnyUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		if k.Up() {
			return true
		}
	}
	return false
}

// reconnect ends the session of the link to an agent, so that the link connects again.
func (l *LinkSet) reconnect(node string) {
	if link := l.Get(node); link != nil {
		link.Reconnect()
	}
}

// Send lets fill extend the next frame for an agent, which is sent at once. It does nothing while
// the link is down.
func (l *LinkSet) Send(node string, fill func(*corepb.ToAgent)) {
	if link := l.Get(node); link != nil {
		link.Send(fill)
	}
}

// sendWithNextFrame is like Send, but leaves the content until the next frame that is sent anyway.
func (l *LinkSet) sendWithNextFrame(node string, fill func(*corepb.ToAgent)) {
	if link := l.Get(node); link != nil {
		link.SendWithNextFrame(fill)
	}
}
