package core

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// Follow learns of agents by the registry until the context ends.
func (l *LinkSet) FollowRegistry(ctx context.Context, st store.Store) {
	f := &follower{
		store: st, partition: RegistryPartition, wait: registryWait, batchDelay: registryBatchDelay, name: "registry",
		apply: l.applyRecord, afterBatch: func() {
			l.mu.Lock()
			l.registryRead = true
			l.mu.Unlock()
			l.Reconcile(bootclock.Now())
		},
	}
	f.run(ctx)
}

// learn takes in a record of the registry.
func (l *LinkSet) applyRecord(r store.Record) {
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
	if old, ok := l.known[r.Key]; !ok || old.Domain != reg.Domain {
		l.order = nil
	}
	l.known[r.Key] = reg
	l.orphansSeen = l.orphansSeen || reg.Orphans
}

// Needed reports whether agents have ends that wait for owners.
func (l *LinkSet) HasOrphans() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orphansSeen
}

// WithOrphans names the agents that have ends which wait for owners.
func (l *LinkSet) AgentsWithOrphans() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	if !l.orphansSeen {
		return out
	}
	for node, reg := range l.known {
		if reg.Orphans {
			out = append(out, node)
		}
	}
	return out
}

// Domains counts the known agents of each failure domain; false before the registry was
// read.
func (l *LinkSet) AgentsPerDomain() (map[string]int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int)
	for _, reg := range l.known {
		out[reg.Domain]++
	}
	return out, l.registryRead
}
