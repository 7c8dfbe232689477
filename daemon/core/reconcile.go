package core

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/subset"
)

// Reconcile dials the wanted agents that are not linked at their registered address. It closes
// links that are no longer wanted, once their agents have no runs of the user, and links to agents
// that were removed from the registry. It does nothing while the set is closed.
func (l *LinkSet) Reconcile(now time.Duration) {
	l.changeMu.Lock()
	defer l.changeMu.Unlock()
	if !l.IsOpen() {
		return
	}
	share, required := l.user.Share(), l.user.Required()
	l.mu.Lock()
	l.updateDownSinceLocked(now)
	l.updateOrderLocked(share)
	wanted := l.wantedLocked(now, required)
	dial, retired := l.updateRetiredLocked(now, wanted)
	assignable := l.updateAssignableLocked(wanted)
	registryRead := l.registryRead
	l.mu.Unlock()
	for node, canAssign := range assignable {
		l.placer.SetRetired(node, !canAssign)
	}
	for node, reg := range dial {
		l.replace(node, reg, wanted[node])
	}
	l.mu.Lock()
	l.dialled = registryRead
	l.mu.Unlock()
	l.reportChange(len(dial), retired, len(wanted))
	l.dropRetired(now)
}

// reportChange updates the metrics and logs a line if links were dialled or retired.
func (l *LinkSet) reportChange(dialled, retired, wanted int) {
	if dialled+retired == 0 {
		return
	}
	l.mu.Lock()
	known, extra, down := len(l.known), len(l.extraAgents), 0
	for _, k := range l.links {
		if k.downSince > 0 {
			down++
		}
	}
	l.mu.Unlock()
	l.metrics.linkChanges.WithLabelValues("dialled").Add(float64(dialled))
	l.metrics.linkChanges.WithLabelValues("retired").Add(float64(retired))
	l.metrics.linksWanted.Set(float64(wanted))
	klog.InfoS("The agents to link have changed", "wanted", wanted, "of", known, "dialled", dialled, "retired", retired, "down", down, "extra", extra)
}

// updateDownSinceLocked records since when each link has been down.
func (l *LinkSet) updateDownSinceLocked(now time.Duration) {
	for _, k := range l.links {
		switch {
		case k.Up():
			k.downSince = 0
		case k.downSince == 0:
			k.downSince = now
		}
	}
}

// updateOrderLocked computes the order of preference again if the agents or the share have
// changed.
func (l *LinkSet) updateOrderLocked(share subset.Share) {
	if l.order != nil && share.Total == l.share.Total && slices.Equal(share.Buckets, l.share.Buckets) {
		return
	}
	agents := make([]subset.Agent, 0, len(l.known))
	for node, reg := range l.known {
		agents = append(agents, subset.Agent{Name: node, Domain: reg.Domain})
	}
	l.share, l.order = share, subset.Order(agents, share)
}

// downTooLongLocked reports whether the link to an agent has been down for downTimeout.
func (l *LinkSet) downTooLongLocked(now time.Duration, node string) bool {
	k := l.links[node]
	return k != nil && k.downSince > 0 && now-k.downSince >= downTimeout
}

// canTakeWorkLocked reports whether new work can be placed on an agent: its link has not been down
// for too long, and its failure domain is not drained.
func (l *LinkSet) canTakeWorkLocked(now time.Duration, node string) bool {
	return !l.drained.Has(l.known[node].Domain) && !l.downTooLongLocked(now, node)
}

// wantedLocked returns the agents to link, and for each whether new work may be placed on it. Work
// goes to the first agents of the order, with replacements for those that can't take work, to the
// agents that the expander adds, and to those that the needs of jobs add. Agents that only the user
// requires get no work: otherwise a request to each owner would double the size of the subset and
// make the decisions worse.
func (l *LinkSet) wantedLocked(now time.Duration, required []string) map[string]bool {
	size := l.sizeLocked()
	wanted := make(map[string]bool, 2*size)
	remaining := l.addWantedLocked(now, wanted, l.order, size)
	extra := l.expander.Extra(now, func() float64 { return l.placer.FreeShare(l.extraAgents) })
	unused := l.addWantedLocked(now, wanted, remaining, extra)
	l.extraAgents = remaining[:len(remaining)-len(unused)]
	l.needs.addAgents(now, l.order, l.undrainedLocked(), wanted)
	for _, node := range required {
		if _, ok := l.known[node]; ok && !wanted[node] {
			wanted[node] = false
		}
	}
	return wanted
}

// addWantedLocked adds agents to wanted, in order, until it has added count agents that can take
// work, or 2*count agents in all. It returns the remaining agents.
func (l *LinkSet) addWantedLocked(now time.Duration, wanted map[string]bool, order []string, count int) []string {
	serving := 0
	for i, node := range order {
		if serving == count || i == 2*count {
			return order[i:]
		}
		wanted[node] = true
		if l.canTakeWorkLocked(now, node) {
			serving++
		}
	}
	return nil
}

// updateRetiredLocked sets which links are retired. It returns the agents to dial and the number of
// links that were newly retired.
func (l *LinkSet) updateRetiredLocked(now time.Duration, wanted map[string]bool) (dial map[string]Registration, retired int) {
	dial = make(map[string]Registration)
	for node := range wanted {
		reg := l.known[node]
		if k := l.links[node]; k == nil || k.addr != reg.LinkAddr {
			dial[node] = reg
		} else {
			k.retiredAt = 0
		}
	}
	for node, k := range l.links {
		if _, isWanted := wanted[node]; !isWanted && k.retiredAt == 0 {
			k.retiredAt = now
			retired++
		}
	}
	return dial, retired
}

// updateAssignableLocked sets which links may get new work. It returns the new value for each agent
// where it has changed or that has no link yet.
func (l *LinkSet) updateAssignableLocked(wanted map[string]bool) map[string]bool {
	changed := make(map[string]bool)
	for node, k := range l.links {
		if k.assignable != wanted[node] {
			k.assignable = wanted[node]
			changed[node] = k.assignable
		}
	}
	for node, assignable := range wanted {
		if l.links[node] == nil {
			changed[node] = assignable
		}
	}
	return changed
}

// dropRetired closes links that were retired for at least retireDelay and whose agents have no runs
// of the user, and links to agents that were removed from the registry.
func (l *LinkSet) dropRetired(now time.Duration) {
	var idle, gone []string
	l.mu.Lock()
	for node, k := range l.links {
		if _, known := l.known[node]; !known {
			gone = append(gone, node)
		} else if k.retiredAt > 0 && now-k.retiredAt >= retireDelay {
			idle = append(idle, node)
		}
	}
	l.mu.Unlock()
	idle = slices.DeleteFunc(idle, l.user.MayHaveRunsAt)
	for _, node := range slices.Concat(gone, idle) {
		l.Drop(node)
		// If the agent is linked again, the next Reconcile sets whether it gets work.
		l.placer.SetRetired(node, false)
	}
}
