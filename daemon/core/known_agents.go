package core

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// FollowRegistry updates the known agents from the registry, and reconciles the links, until the
// context ends. From then on the registry counts as not read.
func (l *LinkSet) FollowRegistry(ctx context.Context, st store.Store) {
	defer func() {
		l.mu.Lock()
		l.registryRead = false
		l.mu.Unlock()
	}()
	f := &follower{
		store: st, partition: RegistryPartition, wait: registryWait, batchPause: pause.Backoff{Min: minRegistryPause, Max: maxRegistryPause}, name: "registry",
		apply: l.applyRecord, afterBatch: func() {
			l.mu.Lock()
			l.forgetToldLocked()
			l.registryRead = true
			l.mu.Unlock()
			l.Reconcile(bootclock.Now())
		},
	}
	f.run(ctx)
}

// ApplyTold updates the known agents with the newest records of the registry, as another process
// has read them, and reconciles the links. It does nothing once the registry has been read here,
// and the first read forgets what was told and is not in the store.
func (l *LinkSet) ApplyTold(records []store.Record) {
	l.applyTold(records)
	l.Reconcile(bootclock.Now())
}

func (l *LinkSet) applyTold(records []store.Record) {
	registered := make(map[string]Registration, len(records))
	for _, r := range records {
		reg, err := decodeRegistration(r)
		if err != nil {
			skipRegistration(err)
			continue
		}
		registered[r.Key] = reg
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.registryRead {
		return
	}
	l.forgetToldLocked()
	for node, reg := range registered {
		if _, ok := l.known[node]; ok {
			continue // the store has named it in a read that is not complete yet
		}
		l.setKnownLocked(node, reg)
		l.told[node] = true
	}
}

// forgetToldLocked removes the agents that only another process has named.
func (l *LinkSet) forgetToldLocked() {
	for node := range l.told {
		delete(l.known, node)
		l.order = nil
	}
	clear(l.told)
}

// applyRecord updates the known agents with a record of the registry. A record without a value
// removes the agent. Malformed records are counted and skipped.
func (l *LinkSet) applyRecord(r store.Record) {
	if r.Value == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.known, r.Key)
		delete(l.told, r.Key)
		l.order = nil
		return
	}
	reg, err := decodeRegistration(r)
	if err != nil {
		skipRegistration(err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setKnownLocked(r.Key, reg)
	delete(l.told, r.Key)
}

// skipRegistration counts and logs a malformed record of the registry.
func skipRegistration(err error) {
	metrics.Malformed(metrics.KindRegistration)
	klog.ErrorS(err, "Skipped a malformed record of the registry")
}

func (l *LinkSet) setKnownLocked(node string, reg Registration) {
	if old, ok := l.known[node]; !ok || old.Domain != reg.Domain {
		l.order = nil
	}
	l.known[node] = reg
	l.orphansSeen = l.orphansSeen || reg.Orphans
}

// HasOrphans reports whether an agent has announced run ends that wait for the owners of their
// shards.
func (l *LinkSet) HasOrphans() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orphansSeen
}

// AgentsWithOrphans returns the agents that currently announce run ends that wait for the owners
// of their shards.
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

// AgentsPerDomain returns the number of known agents of each failure domain, and whether the
// registry has been read.
func (l *LinkSet) AgentsPerDomain() (map[string]int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int)
	for _, reg := range l.known {
		out[reg.Domain]++
	}
	return out, l.registryRead
}
