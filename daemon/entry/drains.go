package entry

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
)

// followers returns the functions that keep the configuration and the drains up to date,
// each until its context ends. If both are in one partition, a single reader follows it.
func (e *Entry) followers() []func(context.Context) {
	wait := core.ConfigWait(e.settings)
	if e.drains.Partition() == e.config {
		return []func(context.Context){
			func(ctx context.Context) { e.drains.Follow(ctx, e.store, wait, "configuration", e.applyStoredConfig) },
		}
	}
	return []func(context.Context){
		func(ctx context.Context) {
			core.Follow(ctx, e.store, e.config, wait, "configuration", e.applyStoredConfig)
		},
		func(ctx context.Context) { e.drains.Follow(ctx, e.store, wait, "drains", nil) },
	}
}

// applyDrains stops the placement of work in the drained failure domains and sends the
// drains to all linked agents.
func (e *Entry) applyDrains(s drains.State) {
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

// Drains returns the newest drains that the entry knows.
func (e *Entry) Drains() drains.State { return e.drains.State() }

// Domains returns the number of registered agents in each failure domain.
func (e *Entry) Domains() map[string]int {
	known, _ := e.links.AgentsPerDomain()
	return known
}

// LinkBeforeSend implements peer.LinkHandler. It adds the known drains to every frame.
func (e *Entry) LinkBeforeSend(f *corepb.ToAgent) { f.Drains = e.drains.ToWire() }
