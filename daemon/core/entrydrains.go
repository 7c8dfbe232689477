package core

import (
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
)

// followers keep the configuration and the drains up to date. Where both stand in one
// partition one reader does for both.
func (e *Entry) followers() []*follower {
	reader := drains.NewReader(&e.drains.book)
	drained := &follower{
		store: e.store, partition: e.drains.source.Partition, wait: configWait, name: "drains",
		begin: reader.Begin, reached: func(position int64) { e.drains.reached(reader, position) },
		apply: func(r store.Record) { e.drains.apply(reader, r) },
	}
	if e.drains.source.Partition == e.config {
		drained.name = "configuration"
		drained.apply = func(r store.Record) {
			e.applyConfig(r)
			e.drains.apply(reader, r)
		}
		return []*follower{drained}
	}
	config := &follower{store: e.store, partition: e.config, wait: configWait, name: "configuration", apply: e.applyConfig}
	return []*follower{config, drained}
}

// drainsChanged has nothing more placed in the drained failure domains, and tells all
// linked agents.
func (e *Entry) drainsChanged(s drains.State) {
	e.fleet.Drain(s)
	e.links.drain(s)
	e.links.nudge()
	known, read := e.links.domains()
	for _, domain := range s.Domains {
		if read && known[domain] == 0 {
			klog.InfoS("A drained failure domain has no agents", "domain", domain)
		}
	}
}

// Drains returns the drains in force, as far as they are known here.
func (e *Entry) Drains() drains.State { return e.drains.book.State() }

// Domains counts the agents of each known failure domain.
func (e *Entry) Domains() map[string]int {
	known, _ := e.links.domains()
	return known
}

// LinkComplete implements peer.LinkHandler.
func (e *Entry) LinkComplete(f *corepb.ToAgent) { f.Drains = e.drains.frame() }
