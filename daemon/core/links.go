package core

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/subset"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/pause"
	"github.com/shallotstep/shallotstep/transport/peer"
)

const (
	// darkAfter is how long a link may be down before another agent stands in for it.
	// A lost link is dialled again within 0.3 s, a process is back within a second.
	darkAfter = time.Second
	// retireAfter is the least time for which a link that is not wanted any more stays:
	// news of what was ordered there last is on its way.
	retireAfter = time.Second
	// linksEvery is the pace at which the links are compared with what is wanted.
	linksEvery = 150 * time.Millisecond
)

// linkUser is the process whose links a set keeps. Its methods may be called at any time
// but while it holds a lock of its own.
type linkUser interface {
	// Share is what the process holds of the numbers by which agents are chosen.
	Share() subset.Share
	// Required names agents that have to be linked whatever the choice is.
	Required() []string
	// Occupied reports whether anything of this process may be at an agent.
	Occupied(node string) bool
}

// workPlacer places the user's work on the linked agents. It is an owner.Fleet.
type workPlacer interface {
	// Retire says whether an agent gets no new work: its link is about to end, or is there
	// because it is required.
	Retire(node string, yes bool)
	// FreeShare is the part of some agents' cores that is free.
	FreeShare(nodes []string) float64
}

// agentLink is a link to an agent.
type agentLink interface {
	Close()
	// Up reports whether frames go both ways.
	Up() bool
}

// linkSet knows the registered agents and, while it is open, keeps links to a subset of
// them, to those that its user requires, and to those that can run what is asked for.
type linkSet struct {
	dial    func(node string, reg registration) agentLink
	user    linkUser
	placer  workPlacer
	metrics *coreMetrics
	// size is the number of links to agents that are there.
	size int

	// changing is held while links are dialled and closed. Closing one waits for
	// its handler, which uses the set, so mu must not be held meanwhile.
	changing sync.Mutex

	mu sync.Mutex
	// All fields below are guarded by mu.

	links map[string]*keptLink
	known map[string]registration
	// order is that in which agents are preferred; nil: to be found anew. It was found
	// for the share.
	order []string
	share subset.Share
	// added are the agents that the subset has been stretched by.
	added   []string
	stretch subset.Stretch
	needs   needs
	// drained are the failure domains in which nothing is newly started.
	drained drains.State
	// orphans is set once an agent has announced ends that only owners can settle.
	orphans bool
	// wasRead is set once the registry was read.
	wasRead bool
	isOpen  bool
}

// keptLink is a link and what is known of it. Guarded by linkSet.mu.
type keptLink struct {
	agentLink
	addr string
	// downSince is since when it was seen down; zero: it is up, or was not looked at.
	downSince time.Duration
	// retiredAt is when it stopped being wanted; zero: it is wanted.
	retiredAt time.Duration
	// works is set while new work may go to the agent.
	works bool
}

// newLinkSet returns a set that is not open. The size is that of the subset; zero takes
// all agents.
func newLinkSet(size int, user linkUser, placer workPlacer, m *coreMetrics, dial func(node string, reg registration) agentLink) *linkSet {
	return &linkSet{
		dial: dial, user: user, placer: placer, metrics: m, size: size,
		links: make(map[string]*keptLink), known: make(map[string]registration),
		stretch: subset.NewStretch(size), needs: make(needs),
	}
}

// follow learns of agents by the registry until the context ends.
func (l *linkSet) follow(ctx context.Context, st store.Store) {
	f := &follower{
		store: st, partition: registryPartition, wait: registryWait, rest: registryPause, name: "registry",
		apply: l.learn, applied: func() {
			l.mu.Lock()
			l.wasRead = true
			l.mu.Unlock()
			l.reconcile(bootclock.Now())
		},
	}
	f.run(ctx)
}

// maintain keeps the links as they are wanted until the context ends.
func (l *linkSet) maintain(ctx context.Context) {
	for pause.For(ctx, linksEvery) == nil {
		l.reconcile(bootclock.Now())
	}
}

// apply takes in a record of the registry and links its agent, if it is wanted.
func (l *linkSet) apply(r store.Record) {
	l.learn(r)
	l.reconcile(bootclock.Now())
}

// learn takes in a record of the registry.
func (l *linkSet) learn(r store.Record) {
	if r.Value == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.known, r.Key)
		l.order = nil
		return
	}
	reg, err := decodeRegistration(r)
	if err != nil {
		metrics.Malformed(metrics.KindRegistration)
		klog.ErrorS(err, "A record of the registry is malformed")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.known[r.Key]; !ok || old.Zone != reg.Zone {
		l.order = nil
	}
	l.known[r.Key] = reg
	l.orphans = l.orphans || reg.Orphans
}

// needed reports whether agents have ends that wait for owners.
func (l *linkSet) needed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orphans
}

// withOrphans names the agents that have ends which wait for owners.
func (l *linkSet) withOrphans() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	if !l.orphans {
		return out
	}
	for node, reg := range l.known {
		if reg.Orphans {
			out = append(out, node)
		}
	}
	return out
}

// opened reports whether the set is open.
func (l *linkSet) opened() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isOpen
}

// reach is how many agents the set is to link; false before the registry was read.
func (l *linkSet) reach() (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := 0
	for _, k := range l.links {
		if k.retiredAt == 0 {
			wanted++
		}
	}
	return wanted, l.wasRead
}

// settled reports whether all links that are wanted are up.
func (l *linkSet) settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		if k.retiredAt == 0 && !k.Up() {
			return false
		}
	}
	return true
}

func (l *linkSet) sizeLocked() int {
	if l.size <= 0 {
		return len(l.known)
	}
	return l.size
}

// open links the agents that are wanted, now and as they come.
func (l *linkSet) open() {
	l.mu.Lock()
	wasOpen := l.isOpen
	l.isOpen = true
	l.mu.Unlock()
	if !wasOpen {
		l.reconcile(bootclock.Now())
	}
}

// close ends all links. The agents stay known.
func (l *linkSet) close() {
	l.changing.Lock()
	defer l.changing.Unlock()
	l.mu.Lock()
	l.isOpen = false
	links := slices.Collect(maps.Keys(l.links))
	l.mu.Unlock()
	for _, node := range links {
		l.drop(node)
	}
}

// full takes in that a job found no room.
func (l *linkSet) full(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stretch.Refused(now)
}

// drain takes in which failure domains are drained. Their agents stay linked, since what
// runs there runs on, and others are linked beside them.
func (l *linkSet) drain(s drains.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = s
}

// domains counts the known agents of each failure domain; false before the registry was
// read.
func (l *linkSet) domains() (map[string]int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int)
	for _, reg := range l.known {
		out[reg.Zone]++
	}
	return out, l.wasRead
}

// nudge has a frame sent to each linked agent.
func (l *linkSet) nudge() {
	l.mu.Lock()
	nodes := slices.Collect(maps.Keys(l.links))
	l.mu.Unlock()
	for _, node := range nodes {
		l.send(node, func(*corepb.ToAgent) {})
	}
}

// replace dials an agent at its address, in place of a link to an older one.
func (l *linkSet) replace(node string, reg registration, works bool) {
	l.drop(node)
	link := l.dial(node, reg)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[node] = &keptLink{agentLink: link, addr: reg.Links, works: works}
}

func (l *linkSet) drop(node string) {
	l.mu.Lock()
	link := l.links[node]
	delete(l.links, node)
	l.mu.Unlock()
	if link != nil {
		link.Close()
	}
}

// get returns the link to an agent, or nil.
func (l *linkSet) get(node string) *peer.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[node]
	if k == nil {
		return nil
	}
	link, _ := k.agentLink.(*peer.Link)
	return link
}

// anyUp reports whether a link is up.
func (l *linkSet) anyUp() bool {
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
func (l *linkSet) renew(node string) {
	if link := l.get(node); link != nil {
		link.Renew()
	}
}

// send adds to the next frame for an agent, if its link is up.
func (l *linkSet) send(node string, fill func(*corepb.ToAgent)) {
	if link := l.get(node); link != nil {
		link.Send(fill)
	}
}

// sendQuietly is send for what may wait for a frame that goes out anyway.
func (l *linkSet) sendQuietly(node string, fill func(*corepb.ToAgent)) {
	if link := l.get(node); link != nil {
		link.SendQuietly(fill)
	}
}
