package core

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
)

// CountCalls returns st with a counter of its calls by verb and purpose. The purpose is the topic or
// the group of a call, without the number of the topic.
func (m *Metrics) CountCalls(st store.Store) store.Store {
	return &countedStore{store: st, calls: m.storeCalls, totals: make(map[string]int), loggedAt: bootclock.Now()}
}

type countedStore struct {
	store store.Store
	calls *prometheus.CounterVec

	mu sync.Mutex
	// totals counts the calls since the start, and loggedAt is when they were last logged. Both are
	// guarded by mu.
	totals   map[string]int
	loggedAt time.Duration
}

// storeCallsLogInterval is the least time between two log lines with the calls of a process.
const storeCallsLogInterval = 30 * time.Second

func (s *countedStore) count(verb, name string) {
	purpose := purposeOf(name)
	s.calls.WithLabelValues(verb, purpose).Inc()
	now := bootclock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals[verb+" "+purpose]++
	if now-s.loggedAt >= storeCallsLogInterval {
		s.loggedAt = now
		klog.InfoS("Calls to the store since the start", "calls", maps.Clone(s.totals))
	}
}

// purposeOf returns the name of a topic or group without what numbers it among others.
func purposeOf(name string) string {
	return strings.TrimRight(strings.TrimPrefix(name, "keyed."), "0123456789")
}

func (s *countedStore) Append(ctx context.Context, p store.Partition, by *store.Producer, records []store.Record) (int64, error) {
	s.count("append", p.Topic)
	return s.store.Append(ctx, p, by, records)
}

func (s *countedStore) Newest(ctx context.Context, p store.Partition) ([]store.Record, int64, error) {
	s.count("newest", p.Topic)
	return s.store.Newest(ctx, p)
}

func (s *countedStore) Follow(ctx context.Context, p store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	s.count("read", p.Topic)
	return s.store.Follow(ctx, p, from, wait)
}

func (s *countedStore) Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (store.Membership, error) {
	s.count("join", group)
	return s.store.Join(ctx, group, member, topics, ttl, generation)
}

func (s *countedStore) Leave(ctx context.Context, group, member string) error {
	s.count("leave", group)
	return s.store.Leave(ctx, group, member)
}

func (s *countedStore) Owners(ctx context.Context, group string) (map[store.Partition]string, error) {
	s.count("owners", group)
	return s.store.Owners(ctx, group)
}
