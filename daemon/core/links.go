package core

import (
	"context"
	"maps"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/peer"
)

// linkSet knows the registered agents and, while it is open, keeps a link to each.
type linkSet struct {
	dial func(node string, reg registration) closer

	// changing is held while links are dialled and closed. Closing one waits for
	// its handler, which uses the set, so mu must not be held meanwhile.
	changing sync.Mutex

	mu sync.Mutex
	// All fields below are guarded by mu.

	links map[string]closer
	// orphans is set once an agent has announced ends that only owners can settle.
	orphans bool
	// linkedTo has the address of each link, known that of each agent.
	linkedTo map[string]string
	known    map[string]registration
	isOpen   bool
}

type closer interface{ Close() }

// newLinkSet returns a set that is not open.
func newLinkSet(dial func(node string, reg registration) closer) *linkSet {
	return &linkSet{
		dial: dial, links: make(map[string]closer),
		linkedTo: make(map[string]string), known: make(map[string]registration),
	}
}

// follow learns of agents by the registry until the context ends.
func (l *linkSet) follow(ctx context.Context, st store.Store) {
	(&follower{store: st, partition: registryPartition, wait: registryWait, rest: registryPause, apply: l.apply, name: "registry"}).run(ctx)
}

// apply takes in a record of the registry.
func (l *linkSet) apply(r store.Record) {
	l.changing.Lock()
	defer l.changing.Unlock()
	if r.Value == nil {
		l.forget(r.Key)
		return
	}
	reg, err := decodeRegistration(r)
	if err != nil {
		metrics.Malformed(metrics.KindRegistration)
		klog.ErrorS(err, "A record of the registry is malformed")
		return
	}
	l.mu.Lock()
	l.known[r.Key] = reg
	l.orphans = l.orphans || reg.Orphans
	isOpen := l.isOpen
	l.mu.Unlock()
	if isOpen {
		l.link(r.Key, reg)
	}
}

// needed reports whether agents have ends that wait for owners.
func (l *linkSet) needed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orphans
}

// opened reports whether the set is open, and how many agents are known.
func (l *linkSet) opened() (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isOpen, len(l.known)
}

// open links all agents that are known, and those that come.
func (l *linkSet) open() {
	l.changing.Lock()
	defer l.changing.Unlock()
	l.mu.Lock()
	wasOpen := l.isOpen
	l.isOpen = true
	known := maps.Clone(l.known)
	l.mu.Unlock()
	if wasOpen {
		return
	}
	for node, reg := range known {
		l.link(node, reg)
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

// link dials an agent unless it is linked at that address.
func (l *linkSet) link(node string, reg registration) {
	l.mu.Lock()
	same := l.linkedTo[node] == reg.Links
	l.mu.Unlock()
	if same {
		return
	}
	l.drop(node)
	link := l.dial(node, reg)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[node], l.linkedTo[node] = link, reg.Links
}

func (l *linkSet) forget(node string) {
	l.drop(node)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.known, node)
}

func (l *linkSet) drop(node string) {
	l.mu.Lock()
	link := l.links[node]
	delete(l.links, node)
	delete(l.linkedTo, node)
	l.mu.Unlock()
	if link != nil {
		link.Close()
	}
}

// get returns the link to an agent, or nil.
func (l *linkSet) get(node string) closer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[node]
}

// all returns a copy of the links.
func (l *linkSet) all() map[string]closer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.links)
}

// send adds to the next frame for an agent, if its link is up.
func (l *linkSet) send(node string, fill func(*corepb.ToAgent)) {
	if link, ok := l.get(node).(*peer.Link); ok {
		link.Send(fill)
	}
}

// sendQuietly is send for what may wait for a frame that goes out anyway.
func (l *linkSet) sendQuietly(node string, fill func(*corepb.ToAgent)) {
	if link, ok := l.get(node).(*peer.Link); ok {
		link.SendQuietly(fill)
	}
}
