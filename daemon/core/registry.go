package core

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// The registry is a keyed topic in which each agent announces its address. It
// serves discovery only: nothing that must hold rests on it.
var registryPartition = store.Partition{Topic: "keyed.agents"}

// registration is an agent's announcement, under its name as key.
type registration struct {
	Links string `json:"links"`
	// Member is its name in the group that shares out the shards.
	Member string `json:"member"`
	Zone   string `json:"zone"`
	// Server is the backend server that the agent saw last. The agent's next
	// life goes on with it at once, if the same instance answers, instead of
	// waiting for its next report.
	Server *knownServer `json:"server,omitempty"`
	// Orphans is set while ends stand at the agent that only the owners of their shards
	// can settle, and none does: owners without jobs link nobody.
	Orphans bool `json:"orphans,omitempty"`
}

// member and server return what a life announced; nothing if there was none.
func (r *registration) member() string {
	if r == nil {
		return ""
	}
	return r.Member
}

func (r *registration) server() *knownServer {
	if r == nil {
		return nil
	}
	return r.Server
}

// knownServer is what an agent remembers of its backend server.
type knownServer struct {
	Instance string     `json:"instance"`
	Service  string     `json:"service"`
	Labels   []string   `json:"labels"`
	Capacity job.Demand `json:"capacity"`
	Draining bool       `json:"draining"`
}

const (
	// storeTimeout bounds a call to the store that may wait for a slow one:
	// its answers took up to a quarter of a second in an outage.
	storeTimeout = 1500 * time.Millisecond
	// retryPause is the pause before a failed call to the store is repeated.
	retryPause = 100 * time.Millisecond
	// registryWait is how long a read of the registry waits for news. A silent
	// connection is found a little later.
	registryWait = 2 * time.Second
	// registryPause is the pause after news of the registry. When all hosts come back
	// at once each of 70 agents registers within 0.3 s, and without it each of 83
	// readers read each of the records by itself. Agents come back at their old
	// addresses, so nobody waits for them here.
	registryPause = 30 * time.Millisecond
)

// follower keeps a copy of a keyed partition up to date.
type follower struct {
	store     store.Store
	partition store.Partition
	wait      time.Duration
	// rest is the pause after records came, to read the next ones together.
	rest time.Duration
	// apply gets each newest record, also repeatedly, and applied is called after those
	// that came together, if it is set.
	apply   func(store.Record)
	applied func()
	// name is for the log.
	name string
}

// Follow hands each newest record of a partition to apply, also repeatedly, until
// the context ends. The name is for the log.
func Follow(ctx context.Context, st store.Store, p store.Partition, name string, apply func(store.Record)) {
	(&follower{store: st, partition: p, wait: configWait, apply: apply, name: name}).run(ctx)
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := f.readAll(ctx, &lost)
		if ctx.Err() != nil {
			return
		}
		if !lost && !errors.Is(err, store.ErrTrimmed) {
			lost = true
			klog.InfoS("Lost the store", "reader", f.name, "err", err)
		}
		_ = pause.For(ctx, retryPause)
	}
}

func (f *follower) readAll(ctx context.Context, lost *bool) error {
	records, next, err := f.newest(ctx)
	if err != nil {
		return err
	}
	if *lost {
		*lost = false
		klog.InfoS("The store is back", "reader", f.name)
	}
	for {
		for _, r := range records {
			f.apply(r)
		}
		if f.applied != nil {
			f.applied()
		}
		if len(records) > 0 {
			_ = pause.For(ctx, f.rest)
		}
		records, next, err = f.follow(ctx, next)
		if err != nil {
			return err
		}
	}
}

func (f *follower) newest(ctx context.Context) ([]store.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return f.store.Newest(ctx, f.partition)
}

// followSlack is the time beyond its wait after which a read counts as lost.
const followSlack = 600 * time.Millisecond

func (f *follower) follow(ctx context.Context, from int64) ([]store.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.wait+followSlack)
	defer cancel()
	return f.store.Follow(ctx, f.partition, from, f.wait)
}

// previousLife returns what an earlier life of an agent has announced, or nil.
func previousLife(ctx context.Context, st store.Store, name string) (*registration, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, _, err := st.Newest(ctx, registryPartition)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		if r.Key != name || r.Value == nil {
			continue
		}
		reg, err := decodeRegistration(r)
		if err != nil {
			// As an error it would keep the agent from ever registering again.
			metrics.Malformed(metrics.KindRegistration)
			klog.ErrorS(err, "What an earlier life has announced is malformed")
			return nil, nil
		}
		return &reg, nil
	}
	return nil, nil
}

// announce writes a registration and returns its offset.
func announce(ctx context.Context, st store.Store, name string, reg registration) (int64, error) {
	b, err := json.Marshal(reg)
	if err != nil {
		return 0, errors.Wrap(err, "registration")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return st.Append(ctx, registryPartition, nil, []store.Record{{Key: name, Value: b}})
}

func decodeRegistration(r store.Record) (registration, error) {
	var reg registration
	if err := json.Unmarshal(r.Value, &reg); err != nil {
		return reg, errors.Wrapf(err, "registration of %s", r.Key)
	}
	if _, err := netip.ParseAddrPort(reg.Links); err != nil {
		return reg, errors.Wrapf(err, "registration of %s", r.Key)
	}
	if s := reg.Server; s != nil && (s.Instance == "" || s.Service == "" || s.Capacity.CPUMillis <= 0) {
		return reg, errors.Errorf("registration of %s: a backend server without a name, service or capacity", r.Key)
	}
	return reg, nil
}

// memberName names one life of an agent in the group.
func memberName(name string, tag string) string { return strings.Join([]string{name, tag}, "/") }
