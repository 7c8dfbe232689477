package entry

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
)

// followers keep the configuration and the drains up to date until the context ends. Where
// both stand in one partition one reader does for both.
func (e *Entry) followers() []func(context.Context) {
	if e.drains.Partition() == e.config {
		return []func(context.Context){
			func(ctx context.Context) { e.drains.Follow(ctx, e.store, "configuration", e.applyConfig) },
		}
	}
	return []func(context.Context){
		func(ctx context.Context) { core.Follow(ctx, e.store, e.config, "configuration", e.applyConfig) },
		func(ctx context.Context) { e.drains.Follow(ctx, e.store, "drains", nil) },
	}
}

// drainsChanged has nothing more placed in the drained failure domains, and tells all
// linked agents.
func (e *Entry) drainsChanged(s drains.State) {
	e.fleet.SetDrained(s)
	e.links.SetDrained(s)
	e.links.SendAll(func(*corepb.ToAgent) {})
	known, read := e.links.AgentsPerDomain()
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
	known, _ := e.links.AgentsPerDomain()
	return known
}

// LinkBeforeSend implements peer.LinkHandler.
func (e *Entry) LinkBeforeSend(f *corepb.ToAgent) { f.Drains = e.drains.ToWire() }
