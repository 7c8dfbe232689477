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

// RegistryPartition is the partition of the registry, a keyed topic in which each agent announces
// its address. It serves discovery only: no correctness property depends on it.
var RegistryPartition = store.Partition{Topic: "keyed.agents"}

// Registration is the registry record of an agent; its key is the agent's name. It is written only
// when its content has changed: an agent that restarts at the same address, beside a backend
// server with the same offer, writes none.
type Registration struct {
	// LinkAddr is the address, with port, at which the agent accepts links.
	LinkAddr string `json:"links"`
	// Domain is the failure domain of the agent's host.
	Domain string `json:"zone"`
	// Offer is what the backend server beside the agent can run; nil if unknown.
	Offer *Offer `json:"offer,omitempty"`
	// Orphans is set while the agent has run ends that only the owners of their shards can
	// settle and that none settles, since owners without jobs link no agents.
	Orphans bool `json:"orphans,omitempty"`
}

// Offer describes the tasks that an agent can run.
type Offer struct {
	Service  string     `json:"service"`
	Labels   []string   `json:"labels"`
	Capacity job.Demand `json:"capacity"`
}

// Equal reports whether two registrations have the same content.
func (r *Registration) Equal(o *Registration) bool {
	if r.LinkAddr != o.LinkAddr || r.Domain != o.Domain || r.Orphans != o.Orphans || (r.Offer == nil) != (o.Offer == nil) {
		return false
	}
	return r.Offer == nil || r.Offer.Service == o.Offer.Service && r.Offer.Capacity == o.Offer.Capacity && slices.Equal(r.Offer.Labels, o.Offer.Labels)
}

const (
	// StoreTimeout bounds a single call to the store. In an outage the store may take up to a
	// quarter of a second to answer, and a call may wait for a slow one before it.
	StoreTimeout = 1500 * time.Millisecond
	// minRetryDelay is the initial backoff before a failed call to the store is repeated, and
	// maxRetryDelay the maximum: all processes recover within that time after the store does.
	minRetryDelay = 80 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// registryWait is how long a read of the registry waits for new records. A silent
	// connection is detected followSlack later.
	registryWait = 5 * time.Second
	// minRegistryPause is the pause after new records of the registry, so that the next read
	// returns several. It doubles up to maxRegistryPause while records keep coming: at the first
	// start of a large system they arrive for seconds, and with a constant pause each reader
	// would read as often as it can. A restarted agent is not delayed: one that returns at its
	// old address is already known.
	minRegistryPause = 30 * time.Millisecond
	maxRegistryPause = time.Second
)

// Retry repeats a call to the store, with exponential backoff, until it succeeds or the context
// ends. failureMessage is the log message for each failure.
func Retry(ctx context.Context, failureMessage string, call func() error) {
	backoff := pause.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
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
	// wait is how long a read waits for new records.
	wait time.Duration
	// batchPause is the pause after a read that returned records, so that the next read
	// returns several. It starts anew once a read had to wait for longer than the last pause.
	// Without a maximum there is no pause.
	batchPause pause.Backoff
	// apply is called with the newest record of each key and then with each new record, possibly
	// more than once. afterBatch, if set, is called after all records of a read.
	apply      func(store.Record)
	afterBatch func()
	// onReset, if set, is called before the newest record of each key is applied. onPosition,
	// if set, is called once all records before a position are applied, also after a read
	// without records.
	onReset    func()
	onPosition func(position int64)
	// name identifies the follower in log lines.
	name string
}

// Follow calls apply with the newest record of each key of a partition, possibly more than once,
// and then with each new record, until the context ends. A read waits for new records for wait. name
// identifies the reader in log lines.
func Follow(ctx context.Context, st store.Store, p store.Partition, wait time.Duration, name string, apply func(store.Record)) {
	(&follower{store: st, partition: p, wait: wait, apply: apply, name: name}).run(ctx)
}

// run follows the partition until the context ends.
func (f *follower) run(ctx context.Context) {
	lost := false
	backoff := pause.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
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

// readAndFollow reads the newest record of each key and then follows the partition. It returns the
// error that ends the reading, which is store.ErrTrimmed if all has to be read again.
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
		var paused time.Duration
		if len(records) > 0 && f.batchPause.Max > 0 {
			paused = f.batchPause.Next(0)
			_ = pause.For(ctx, paused)
		}
		began := time.Now()
		records, next, err = f.follow(ctx, next)
		if err != nil {
			return err
		}
		if time.Since(began) > paused {
			f.batchPause.Reset()
		}
	}
}

func (f *follower) newest(ctx context.Context) ([]store.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	return f.store.Newest(ctx, f.partition)
}

// followSlack is how much longer than its wait a read may take before it is given up.
const followSlack = 600 * time.Millisecond

func (f *follower) follow(ctx context.Context, from int64) ([]store.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.wait+followSlack)
	defer cancel()
	return f.store.Follow(ctx, f.partition, from, f.wait)
}

// Announce writes the registration of an agent to the registry.
func Announce(ctx context.Context, st store.Store, name string, reg *Registration) error {
	b, err := json.Marshal(reg)
	if err != nil {
		return errors.Wrap(err, "encode registration")
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
	addr, err := netip.ParseAddrPort(reg.LinkAddr)
	if err != nil {
		return reg, errors.Wrapf(err, "registration of %s", r.Key)
	}
	if addr.Port() == 0 {
		return reg, errors.Errorf("registration of %s: address %s has no port", r.Key, reg.LinkAddr)
	}
	if o := reg.Offer; o != nil && (o.Service == "" || !o.Capacity.InRange()) {
		return reg, errors.Errorf("registration of %s: offer without a service, or with a capacity out of range", r.Key)
	}
	return reg, nil
}

// MemberName returns the name of one incarnation of a process, in the group of owners and on its
// links.
func MemberName(name string, incarnation string) string {
	return strings.Join([]string{name, incarnation}, "/")
}
