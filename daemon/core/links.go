// Package core has what entries and agents share: their links to agents, their readers of the
// store, what they know of drains, and the driver of a shard's machine.
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
	// darkAfter is how long a link may be down before another agent stands in for it.
	// A lost link is dialled again within 0.3 s, a process is back within a second.
	downTimeout = time.Second
	// retireAfter is the least time for which a link that is not wanted any more stays:
	// news of what was ordered there last is on its way.
	retireDelay = time.Second
	// linksEvery is the pace at which the links are compared with what is wanted.
	reconcileInterval = 150 * time.Millisecond
)

// linkUser is the process whose links a set keeps. Its methods may be called at any time
// but while it holds a lock of its own.
type linkUser interface {
	// Share is what the process holds of the hash buckets by which agents are chosen.
	Share() subset.Share
	// Required names agents that have to be linked whatever the choice is.
	Required() []string
	// Occupied reports whether anything of this process may be at an agent.
	MayHaveRunsAt(node string) bool
}

// WorkPlacer places the user's work on the linked agents. It is an owner.Fleet.
type WorkPlacer interface {
	// SetRetired says whether an agent gets no new work: its link is about to end, or is there
	// because it is required.
	SetRetired(node string, retired bool)
	// FreeShare is the part of some agents' cores that is free.
	FreeShare(nodes []string) float64
}

// AgentLink is a link to an agent.
type AgentLink interface {
	Close()
	// Up reports whether frames go both ways.
	Up() bool
}

// LinkSet knows the registered agents and, while it is open, keeps links to a subset of
// them, to those that its user requires, and to those that can run what is asked for.
type LinkSet struct {
	dial    func(node string, reg Registration) AgentLink
	user    linkUser
	placer  WorkPlacer
	metrics *Metrics
	// size is the number of links to agents that are there.
	size int

	// changing is held while links are dialled and closed. Closing one waits for
	// its handler, which uses the set, so mu must not be held meanwhile.
	changeMu sync.Mutex

	mu sync.Mutex
	// All fields below are guarded by mu.

	links map[string]*managedLink
	known map[string]Registration
	// order is that in which agents are preferred; nil: to be found anew. It was found
	// for the share.
	order []string
	share subset.Share
	// added are the agents that the subset has been stretched by.
	extraAgents []string
	expander    subset.Expander
	needs       needs
	// drained are the failure domains in which nothing is newly started.
	drained drains.State
	// orphans is set once an agent has announced ends that only owners can settle.
	orphansSeen bool
	// wasRead is set once the registry was read.
	registryRead bool
	isOpen       bool
}

// keptLink is a link and what is known of it. Guarded by linkSet.mu.
type managedLink struct {
	AgentLink
	addr string
	// downSince is since when it was seen down; zero: it is up, or was not looked at.
	downSince time.Duration
	// retiredAt is when it stopped being wanted; zero: it is wanted.
	retiredAt time.Duration
	// works is set while new work may go to the agent.
	assignable bool
}

// NewLinkSet returns a set that is not open. The size is that of the subset; zero takes
// all agents.
func NewLinkSet(size int, user linkUser, placer WorkPlacer, m *Metrics, dial func(node string, reg Registration) AgentLink) *LinkSet {
	return &LinkSet{
		dial: dial, user: user, placer: placer, metrics: m, size: size,
		links: make(map[string]*managedLink), known: make(map[string]Registration),
		expander: subset.NewExpander(size), needs: make(needs),
	}
}

// Maintain keeps the links as they are wanted until the context ends.
func (l *LinkSet) Maintain(ctx context.Context) {
	for pause.For(ctx, reconcileInterval) == nil {
		l.Reconcile(bootclock.Now())
	}
}

// Apply takes in a record of the registry and links its agent, if it is wanted.
func (l *LinkSet) Apply(r store.Record) {
	l.applyRecord(r)
	l.Reconcile(bootclock.Now())
}

// Opened reports whether the set is open.
func (l *LinkSet) IsOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isOpen
}

// Reach is how many agents the set is to link; false before the registry was read.
func (l *LinkSet) NumWanted() (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := 0
	for _, k := range l.links {
		if k.retiredAt == 0 {
			wanted++
		}
	}
	return wanted, l.registryRead
}

// Settled reports whether all links that are wanted are up.
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

func (l *LinkSet) sizeLocked() int {
	if l.size <= 0 {
		return len(l.known)
	}
	return l.size
}

// Open links the agents that are wanted, now and as they come.
func (l *LinkSet) Open() {
	l.mu.Lock()
	wasOpen := l.isOpen
	l.isOpen = true
	l.mu.Unlock()
	if !wasOpen {
		l.Reconcile(bootclock.Now())
	}
}

// Close ends all links. The agents stay known.
func (l *LinkSet) Close() {
	l.changeMu.Lock()
	defer l.changeMu.Unlock()
	l.mu.Lock()
	l.isOpen = false
	links := slices.Collect(maps.Keys(l.links))
	l.mu.Unlock()
	for _, node := range links {
		l.Drop(node)
	}
}

// full takes in that a job found no room.
func (l *LinkSet) recordRefusal(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expander.RecordRefusal(now)
}

// Drain takes in which failure domains are drained. Their agents stay linked, since what
// runs there runs on, and others are linked beside them.
func (l *LinkSet) SetDrained(s drains.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = s
}

// SendAll adds to the next frame for each linked agent.
func (l *LinkSet) SendAll(fill func(*corepb.ToAgent)) {
	l.mu.Lock()
	nodes := slices.Collect(maps.Keys(l.links))
	l.mu.Unlock()
	for _, node := range nodes {
		l.Send(node, fill)
	}
}

// replace dials an agent at its address, in place of a link to an older one.
func (l *LinkSet) replace(node string, reg Registration, assignable bool) {
	l.Drop(node)
	link := l.dial(node, reg)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[node] = &managedLink{AgentLink: link, addr: reg.LinkAddr, assignable: assignable}
}

// Drop ends the link to an agent, if there is one.
func (l *LinkSet) Drop(node string) {
	l.mu.Lock()
	link := l.links[node]
	delete(l.links, node)
	l.mu.Unlock()
	if link != nil {
		link.Close()
	}
}

// Get returns the link to an agent, or nil.
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

// AnyUp reports whether a link is up.
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

// renew has the link to an agent made anew.
func (l *LinkSet) renew(node string) {
	if link := l.Get(node); link != nil {
		link.Renew()
	}
}

// Send adds to the next frame for an agent, if its link is up.
func (l *LinkSet) Send(node string, fill func(*corepb.ToAgent)) {
	if link := l.Get(node); link != nil {
		link.Send(fill)
	}
}

// sendQuietly is send for what may wait for a frame that goes out anyway.
func (l *LinkSet) sendQuietly(node string, fill func(*corepb.ToAgent)) {
	if link := l.Get(node); link != nil {
		link.SendQuietly(fill)
	}
}
