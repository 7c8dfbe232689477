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
	// producerName is the writer of each shard; epochs tell owners apart.
	producerName = "owner"
	// agentsKey holds the agents that may have runs of a shard. No job's ID
	// begins with a zero byte.
	agentsKey = "\x00agents"
	// firstAttempt is the time that an append may take before it is repeated;
	// usually it takes 5 ms. The time doubles with each repeat.
	firstAppendTimeout = 60 * time.Millisecond
	// maxAttempt is the longest: a slow store answers within it.
	maxAppendTimeout = time.Second
	// badAfter is when a store without an answer counts as unavailable for new
	// jobs: longer than one lost answer and its repeat take.
	unavailableAfter = 300 * time.Millisecond
	// probePause is the pace at which an owner tries a store that rejects it.
	probeInterval = 100 * time.Millisecond
)

// shardRunner drives a shard whose jobs are recorded.
type shardRunner struct {
	*core.Steps
	agent     *Agent
	partition store.Partition
	producer  store.Producer
	stop      context.CancelFunc
	done      chan struct{}
	// spent is the time until which the allowance of writes is used up. Only
	// the writer uses it.
	nextWriteAt time.Duration
	// stale is set while the store does not take writes.
	storeUnavailable atomic.Bool
}

// openShard takes a shard over: it shuts earlier owners out, reads what the
// store has and claims the shard at all agents.
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
	records, agents, err := r.readRecords(ctx)
	if err != nil {
		return nil, err
	}
	now := bootclock.Now()
	r.Steps = core.NewSteps(owner.New(now, id, epoch, core.OwnerBounds(a.settings), a.fleet, records, agents), a.links, a.metrics)
	klog.InfoS("Took a shard over", "shard", id, "epoch", epoch, "jobs", len(records), "agents", agents, "took", now-began)
	a.metrics.Takeover.Observe((now - began).Seconds())
	ctx, r.stop = context.WithCancel(ctx)
	go r.run(ctx)
	return r, nil
}

// fence sets the epoch at the store: from here on no earlier owner writes.
func (r *shardRunner) fence(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, core.StoreTimeout)
	defer cancel()
	_, err := r.agent.store.Append(ctx, r.partition, &r.producer, nil)
	return errors.Wrap(err, "fence")
}

// run writes what is due, one call at a time.
func (r *shardRunner) run(ctx context.Context) {
	defer close(r.done)
	tick := time.NewTicker(core.TickEvery)
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

// writeNext writes one batch, if one is due, and reports whether it did.
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
		klog.ErrorS(err, "A record can't be written", "shard", r.ID)
		// Its refusal has the shard take no new jobs until a write succeeds, and none
		// may follow: the next call finds out that the store is well.
		r.storeUnavailable.Store(true)
		r.Step(func(now time.Duration) owner.Effects { return r.Rejected(now, b, "encoding") })
		return false
	}
	err = r.append(ctx, records)
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
		klog.InfoS("Gave a shard up", "shard", r.ID, "epoch", r.Epoch, "err", err)
		r.Step(func(time.Duration) owner.Effects { return r.Close() })
	}
	return false
}

// probe finds out whether a store that rejected the last write takes writes.
func (r *shardRunner) probe(ctx context.Context) {
	_ = pause.For(ctx, probeInterval)
	if err := r.fence(ctx); err != nil {
		return
	}
	r.storeUnavailable.Store(false)
	r.Step(func(now time.Duration) owner.Effects { return r.Written(now, owner.Batch{}) })
}

// allowance spaces calls so that all owners together stay below what the store
// takes. A call that comes after a pause goes at once.
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
	// writeShare of the store's writes is for records of jobs; the rest is for
	// registrations and memberships, and for repeats.
	writeShare = 0.8
	// writeBurst is how many calls may follow one another after a pause.
	writeBurst = 3
)

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
			return nil, errors.Wrap(err, "agents of the shard")
		}
		out = append(out, store.Record{Key: agentsKey, Value: value})
	}
	return out, nil
}

// append writes one batch until its fate is known. A lost answer may hide a
// write that was carried out, so the same call is repeated under the same
// number until the store says what became of it. ErrRejected means that no
// attempt was carried out.
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
		r.agent.metrics.Repeats.Inc()
		if took > unavailableAfter {
			r.storeUnavailable.Store(true)
			r.MarkStoreUnavailable()
		}
		klog.V(1).InfoS("A write is repeated", "shard", r.ID, "after", took, "err", err)
		if errors.Is(err, store.ErrRejected) {
			_ = pause.For(ctx, probeInterval)
		}
		timeout = min(2*timeout, maxAppendTimeout)
	}
}

// close ends the runner. The machine answers whoever waits.
func (r *shardRunner) close() {
	r.stop()
	<-r.done
	r.Step(func(time.Duration) owner.Effects { return r.Close() })
}
