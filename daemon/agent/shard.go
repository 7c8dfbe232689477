package agent

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/daemon/core"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
)

const (
	// producerName is the name under which every owner writes. Owners differ by their
	// epochs.
	producerName = "owner"
	// agentsKey is the key of the list of agents that may have runs of a shard. No job
	// ID begins with a zero byte.
	agentsKey = "\x00agents"
	// incarnationsKey is the key of the incarnations of these agents.
	incarnationsKey = "\x00incarnations"
	// firstAppendTimeout is the timeout of the first attempt of an append, which
	// usually takes 5 ms. The timeout doubles with each attempt.
	firstAppendTimeout = 60 * time.Millisecond
	// maxAppendTimeout is the longest timeout of an attempt. A slow store answers
	// within it.
	maxAppendTimeout = time.Second
	// unavailableAfter is how long an append may go without an answer before new jobs
	// are refused. It is longer than one lost answer and the next attempt take.
	unavailableAfter = 300 * time.Millisecond
	// probeInterval is the pause before the next call to a store that rejects calls.
	probeInterval = 100 * time.Millisecond
)

// shardRunner drives the state machine of a shard whose jobs are recorded.
type shardRunner struct {
	*core.ShardDriver
	agent     *Agent
	partition store.Partition
	producer  store.Producer
	stop      context.CancelFunc
	done      chan struct{}
	// nextWriteAt is the earliest time of the next write under the rate limit. Only
	// the goroutine of run uses it.
	nextWriteAt time.Duration
	// storeUnavailable is set while the store does not accept writes.
	storeUnavailable atomic.Bool
}

// openShard takes a shard over: it fences earlier owners, reads the shard's records
// and starts the shard's runner.
func (a *Agent) openShard(ctx context.Context, id int, epoch int64) (*shardRunner, error) {
	began := bootclock.Now()
	r := &shardRunner{
		agent: a, partition: core.ShardSeries(a.settings).Partition(id),
		producer: store.Producer{Name: producerName, Epoch: epoch},
		done:     make(chan struct{}),
	}
	if err := r.fence(ctx); err != nil {
		return nil, err
	}
	stored, err := r.readRecords(ctx)
	if err != nil {
		return nil, err
	}
	now := bootclock.Now()
	r.ShardDriver = core.NewShardDriver(owner.New(now, id, epoch, core.OwnerBounds(a.settings), a.fleet, stored.jobs, stored.agents, stored.incarnations), a.links, a.metrics)
	klog.InfoS("Took a shard over", "shard", id, "epoch", epoch, "jobs", len(stored.jobs), "agents", stored.agents, "took", now-began)
	a.metrics.Takeover.Observe((now - began).Seconds())
	ctx, r.stop = context.WithCancel(ctx)
	go r.run(ctx)
	return r, nil
}

// fence sets the epoch of the shard's partition in the store. From then on earlier
// owners can't write.
func (r *shardRunner) fence(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, core.StoreTimeout)
	defer cancel()
	_, err := r.agent.store.Append(ctx, r.partition, &r.producer, nil)
	return errors.Wrap(err, "fence earlier owners")
}

// run ticks the shard and writes what is due, one call at a time, until ctx ends.
func (r *shardRunner) run(ctx context.Context) {
	defer close(r.done)
	tick := time.NewTicker(core.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Wake:
		case <-tick.C:
			r.SetOwnershipConfirmed(r.agent.ownershipConfirmed())
			r.Step(r.Shard.Tick)
		}
		for r.writeNext(ctx) {
		}
	}
}

// writeNext writes one batch, if one is due, and reports whether it succeeded.
func (r *shardRunner) writeNext(ctx context.Context) bool {
	if r.Closed() || ctx.Err() != nil {
		return false
	}
	if !r.WriteDue(bootclock.Now()) {
		if r.storeUnavailable.Load() {
			r.probe(ctx)
		}
		return false
	}
	r.throttle(ctx)
	b := r.NextBatch(bootclock.Now())
	if b.Empty() {
		return false
	}
	records, err := r.encode(&b)
	if err != nil {
		klog.ErrorS(err, "Can't encode a batch of records", "shard", r.ID)
		// After Rejected the shard refuses new jobs until a write succeeds, and there
		// may be none left to write. So the next call probes the store, which confirms
		// that it accepts writes.
		r.storeUnavailable.Store(true)
		r.Step(func(now time.Duration) owner.Effects { return r.Rejected(now, b, "encoding") })
		return false
	}
	if len(records) == 0 {
		err = r.confirm(ctx)
	} else {
		err = r.append(ctx, records)
	}
	switch {
	case err == nil:
		r.storeUnavailable.Store(false)
		r.Step(func(now time.Duration) owner.Effects { return r.Written(now, b) })
		return true
	case errors.Is(err, store.ErrRejected):
		r.storeUnavailable.Store(true)
		r.Step(func(now time.Duration) owner.Effects { return r.Rejected(now, b, "store_rejected") })
		_ = pause.For(ctx, probeInterval)
	default:
		r.giveUp(err)
	}
	return false
}

// giveUp closes the shard because the store no longer accepts writes of this owner. The next join opens
// it anew if the group still assigns it to this agent.
func (r *shardRunner) giveUp(err error) {
	klog.InfoS("Gave up a shard", "shard", r.ID, "epoch", r.Epoch, "err", err)
	r.Step(func(time.Duration) owner.Effects { return r.Close() })
	select {
	case r.agent.rejoin <- struct{}{}:
	default:
	}
}

// confirm asks the store whether the shard has a newer owner, without writing anything. Its errors are
// store.ErrFenced if there is one, and store.ErrRejected if that remains unknown.
func (r *shardRunner) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	err := r.fence(ctx)
	if err == nil || errors.Is(err, store.ErrFenced) {
		return err
	}
	klog.V(1).InfoS("Could not confirm the ownership of a shard", "shard", r.ID, "epoch", r.Epoch, "err", err)
	return store.ErrRejected
}

// probe checks whether a store that rejected the last write accepts writes again. If so,
// the shard accepts new jobs. It gives the shard up if that has a newer owner by now.
func (r *shardRunner) probe(ctx context.Context) {
	_ = pause.For(ctx, probeInterval)
	err := r.fence(ctx)
	switch {
	case err == nil:
		r.storeUnavailable.Store(false)
		r.Step(func(now time.Duration) owner.Effects { return r.Written(now, owner.Batch{}) })
	case errors.Is(err, store.ErrFenced):
		r.giveUp(err)
	}
}

// throttle delays a write so that all owners together stay below the store's limit of
// writes per second. After a pause, a few writes are not delayed; see writeBurst.
func (r *shardRunner) throttle(ctx context.Context) {
	interval := time.Duration(float64(time.Second) * float64(r.agent.settings.Shards()) / (writeShare * r.agent.settings.Store.WritesPerSecond))
	now := bootclock.Now()
	if wait := r.nextWriteAt - now; wait > 0 {
		_ = pause.For(ctx, wait)
		now = bootclock.Now()
	}
	r.nextWriteAt = max(r.nextWriteAt, now-writeBurst*interval) + interval
}

const (
	// writeShare is the part of the store's limit that is used for records of jobs.
	// The rest is left for registrations, memberships and repeated writes.
	writeShare = 0.8
	// writeBurst is the burst of the rate limit: the number of write intervals that a
	// pause may save up.
	writeBurst = 3
)

// encode returns the store records of a batch.
func (r *shardRunner) encode(b *owner.Batch) ([]store.Record, error) {
	out := make([]store.Record, 0, len(b.Writes)+1)
	for i := range b.Writes {
		w := &b.Writes[i]
		rec := store.Record{Key: string(w.ID)}
		if w.Record != nil {
			value, err := wire.EncodeRecord(w.Record)
			if err != nil {
				return nil, err
			}
			rec.Value = value
		}
		out = append(out, rec)
	}
	if b.Agents != nil {
		value, err := json.Marshal(b.Agents)
		if err != nil {
			return nil, errors.Wrap(err, "encode the agents of the shard")
		}
		out = append(out, store.Record{Key: agentsKey, Value: value})
	}
	if b.Incarnations != nil {
		value, err := encodeIncarnations(b.Incarnations)
		if err != nil {
			return nil, err
		}
		out = append(out, store.Record{Key: incarnationsKey, Value: value})
	}
	return out, nil
}

// append writes one batch and returns once its outcome is known or ctx ends. When an
// answer is lost, the write may have been carried out, so the call is repeated with the
// same sequence number, which makes it idempotent. ErrRejected means that no attempt
// was carried out, and ErrFenced that the shard has a newer owner.
func (r *shardRunner) append(ctx context.Context, records []store.Record) error {
	r.producer.Sequence++
	began := bootclock.Now()
	timeout := firstAppendTimeout
	unknown := false
	for {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		_, err := r.agent.store.Append(attempt, r.partition, &r.producer, records)
		cancel()
		took := bootclock.Now() - began
		switch {
		case err == nil:
			r.agent.metrics.Append.Observe(took.Seconds())
			return nil
		case errors.Is(err, store.ErrFenced):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, store.ErrRejected) && !unknown:
			r.producer.Sequence--
			return err
		}
		unknown = unknown || !errors.Is(err, store.ErrRejected)
		r.agent.metrics.StoreRepeats.Inc()
		if took > unavailableAfter {
			r.storeUnavailable.Store(true)
			r.Step(func(time.Duration) owner.Effects { return r.MarkStoreUnavailable() })
		}
		klog.V(1).InfoS("Repeating a write", "shard", r.ID, "after", took, "err", err)
		if errors.Is(err, store.ErrRejected) {
			_ = pause.For(ctx, probeInterval)
		}
		timeout = min(2*timeout, maxAppendTimeout)
	}
}

// close stops the runner and closes the shard, which answers all waiting requests.
func (r *shardRunner) close() {
	r.stop()
	<-r.done
	r.Step(func(time.Duration) owner.Effects { return r.Close() })
}
