package core

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/subset"
)

// Reconcile dials what is wanted and not linked, and ends links that are not wanted any
// more once nothing of the user is behind them.
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
	l.mu.Unlock()
	for node, canAssign := range assignable {
		l.placer.SetRetired(node, !canAssign)
	}
	for node, reg := range dial {
		l.replace(node, reg, wanted[node])
	}
	l.reportChange(len(dial), retired, len(wanted))
	l.dropRetired(now)
}

// tell leaves a trace of a change.
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

// watchLocked notes which links are down.
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

// darkLocked reports whether an agent's link has been down for long.
func (l *LinkSet) downTooLongLocked(now time.Duration, node string) bool {
	k := l.links[node]
	return k != nil && k.downSince > 0 && now-k.downSince >= downTimeout
}

// servesLocked reports whether an agent can be given work: it is not dark, and its failure
// domain not drained.
func (l *LinkSet) canTakeWorkLocked(now time.Duration, node string) bool {
	return !l.drained.Has(l.known[node].Domain) && !l.downTooLongLocked(now, node)
}

// wantedLocked names the agents to link, and whether new work goes to them: the first ones
// of the order, with others in place of those that can't serve, what the subset is stretched
// by and what the jobs' needs lack get work. What the user requires is linked for something
// else: with work for all of them a question to each owner would make a subset twice as
// large, and the decisions worse.
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

// takeLocked adds agents in order until so many are there that can serve, or twice as
// many in all. It returns those that are left.
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

// retireLocked returns what has to be dialled, and how many links have ceased to be wanted.
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

// worksLocked returns the agents for which it has changed whether new work goes there.
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

// dropRetired ends links that are not wanted once nothing is behind them, and those to
// agents that were taken from the registry.
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
		// A link that is made anew says for itself whether it gets work.
		l.placer.SetRetired(node, false)
	}
}
