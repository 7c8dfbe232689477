package entry

import (
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
)

// followers keep the configuration and the drains up to date. Where both stand in one
// partition one reader does for both.
func (e *Entry) followers() []*core.Follower {
	if e.drains.Partition() == e.config {
		return []*core.Follower{e.drains.Follower(e.store, "configuration", e.applyConfig)}
	}
	config := &core.Follower{Store: e.store, Partition: e.config, Wait: core.ConfigWait, Name: "configuration", Apply: e.applyConfig}
	return []*core.Follower{config, e.drains.Follower(e.store, "drains", nil)}
}

// drainsChanged has nothing more placed in the drained failure domains, and tells all
// linked agents.
func (e *Entry) drainsChanged(s drains.State) {
	e.fleet.Drain(s)
	e.links.Drain(s)
	e.links.Nudge()
	known, read := e.links.Domains()
	for _, domain := range s.Domains {
		if read && known[domain] == 0 {
			klog.InfoS("A drained failure domain has no agents", "domain", domain)
		}
	}
}

// Drains returns the drains in force, as far as they are known here.
func (e *Entry) Drains() drains.State { return e.drains.State() }

// Domains counts the agents of each known failure domain.
func (e *Entry) Domains() map[string]int {
	known, _ := e.links.Domains()
	return known
}

// LinkComplete implements peer.LinkHandler.
func (e *Entry) LinkComplete(f *corepb.ToAgent) { f.Drains = e.drains.Frame() }
