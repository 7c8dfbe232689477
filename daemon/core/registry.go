package core

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// The registry is a keyed topic in which each agent announces its address. It
// serves discovery only: nothing that must hold rests on it.
var RegistryPartition = store.Partition{Topic: "keyed.agents"}

// Registration is an agent's announcement, under its name as key. It is written when
// what it says has changed: a life that comes back at the same address beside the same
// kind of backend server writes none.
type Registration struct {
	LinkAddr string `json:"links"`
	Domain   string `json:"zone"`
	// Offer is what the backend server beside the agent can run.
	Offer *Offer `json:"offer,omitempty"`
	// Orphans is set while ends stand at the agent that only the owners of their shards
	// can settle, and none does: owners without jobs link nobody.
	Orphans bool `json:"orphans,omitempty"`
}

// Offer is what tasks an agent can take.
type Offer struct {
	Service  string     `json:"service"`
	Labels   []string   `json:"labels"`
	Capacity job.Demand `json:"capacity"`
}

// Same reports whether two registrations say the same.
func (r *Registration) Equal(o *Registration) bool {
	if r.LinkAddr != o.LinkAddr || r.Domain != o.Domain || r.Orphans != o.Orphans || (r.Offer == nil) != (o.Offer == nil) {
		return false
	}
	return r.Offer == nil || r.Offer.Service == o.Offer.Service && r.Offer.Capacity == o.Offer.Capacity && slices.Equal(r.Offer.Labels, o.Offer.Labels)
}

const (
	// StoreTimeout bounds a call to the store that may wait for a slow one:
	// its answers took up to a quarter of a second in an outage.
	StoreTimeout = 1500 * time.Millisecond
	// retryPause is the pause before a failed call to the store is repeated, and
	// maxRetryPause the longest: all processes are back within that after the store is.
	minRetryDelay = 80 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// registryWait is how long a read of the registry waits for news. A silent
	// connection is found a little later.
	registryWait = 2 * time.Second
	// registryPause is the pause after news of the registry. When a system starts for the
	// first time each of 70 agents registers within 0.3 s, and without it each of 83
	// readers read each of the records by itself. Agents that come back at their old
	// addresses are known, so nobody waits for them here.
	registryBatchDelay = 30 * time.Millisecond
)

// UntilDone repeats a call to the store, with pauses that grow, until it succeeds or the
// context ends. What it says of a failure is for the log.
func Retry(ctx context.Context, failureMessage string, call func() error) {
	backoff := pause.Backoff{Least: minRetryDelay, Most: maxRetryDelay}
	for ctx.Err() == nil {
		began := bootclock.Now()
		err := call()
		if err == nil {
			return
		}
		klog.InfoS(failureMessage, "err", err)
		_ = backoff.Wait(ctx, bootclock.Now()-began)
	}
}

// follower keeps a copy of a keyed partition up to date.
type follower struct {
	store     store.Store
	partition store.Partition
	wait      time.Duration
	// rest is the pause after records came, to read the next ones together.
	batchDelay time.Duration
	// apply gets each newest record, also repeatedly, and applied is called after those
	// that came together, if it is set.
	apply      func(store.Record)
	afterBatch func()
	// begin is called before the newest record of each key is applied, and reached once
	// all records before a position were, also when none came; both if they are set.
	onReset    func()
	onPosition func(position int64)
	// name is for the log.
	name string
}

// Follow hands each newest record of a partition to apply, also repeatedly, until
// the context ends. The name is for the log.
func Follow(ctx context.Context, st store.Store, p store.Partition, name string, apply func(store.Record)) {
	(&follower{store: st, partition: p, wait: ConfigWait, apply: apply, name: name}).run(ctx)
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	lost := false
	backoff := pause.Backoff{Least: minRetryDelay, Most: maxRetryDelay}
	for ctx.Err() == nil {
		began := bootclock.Now()
		err := f.readAndFollow(ctx, &lost, &backoff)
		if ctx.Err() != nil {
			return
		}
		if !lost && !errors.Is(err, store.ErrTrimmed) {
			lost = true
			klog.InfoS("Lost the store", "reader", f.name, "err", err)
		}
		_ = backoff.Wait(ctx, bootclock.Now()-began)
	}
}

func (f *follower) readAndFollow(ctx context.Context, lost *bool, backoff *pause.Backoff) error {
	records, next, err := f.newest(ctx)
	if err != nil {
		return err
	}
	backoff.Reset()
	if *lost {
		*lost = false
		klog.InfoS("The store is back", "reader", f.name)
	}
	if f.onReset != nil {
		f.onReset()
	}
	for {
		for _, r := range records {
			f.apply(r)
		}
		if f.afterBatch != nil {
			f.afterBatch()
		}
		if f.onPosition != nil {
			f.onPosition(next)
		}
		if len(records) > 0 {
			_ = pause.For(ctx, f.batchDelay)
		}
		records, next, err = f.follow(ctx, next)
		if err != nil {
			return err
		}
	}
}

func (f *follower) newest(ctx context.Context) ([]store.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
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

// Announce writes a registration.
func Announce(ctx context.Context, st store.Store, name string, reg *Registration) error {
	b, err := json.Marshal(reg)
	if err != nil {
		return errors.Wrap(err, "registration")
	}
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	_, err = st.Append(ctx, RegistryPartition, nil, []store.Record{{Key: name, Value: b}})
	return err
}

func decodeRegistration(r store.Record) (Registration, error) {
	var reg Registration
	if err := json.Unmarshal(r.Value, &reg); err != nil {
		return reg, errors.Wrapf(err, "registration of %s", r.Key)
	}
	if _, err := netip.ParseAddrPort(reg.LinkAddr); err != nil {
		return reg, errors.Wrapf(err, "registration of %s", r.Key)
	}
	if o := reg.Offer; o != nil && (o.Service == "" || o.Capacity.CPUMillis < 0) {
		return reg, errors.Errorf("registration of %s: an offer without a service or capacity", r.Key)
	}
	return reg, nil
}

// MemberName names one life of an agent in the group.
func MemberName(name string, incarnation string) string {
	return strings.Join([]string{name, incarnation}, "/")
}
