package clients

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/store"
)

// drainsPartition is the partition of the store that holds the drains, with one record
// per failure domain that has ever been drained.
var drainsPartition = store.Partition{Topic: "keyed.drains", Number: 0}

// drainProducer is the name of the producer of all drains. Concurrent writers use the same
// name with different epochs.
const drainProducer = "drains"

// drainRecord is the stored record of a failure domain's drain. It is kept after the drain
// has ended, for its history.
type drainRecord struct {
	Drained bool             `json:"drained"`
	Version state.Version    `json:"version"`
	History []api.DrainEntry `json:"history"`
	// Epoch is the epoch under which the record was written.
	Epoch int64 `json:"epoch"`
}

// Drains holds the drains of failure domains that operators have set at this interface and
// that the entry has read from the store. It is safe for concurrent use.
type Drains struct {
	store store.Store
	// name is the name of this entry, for the history.
	name string

	mu      sync.RWMutex
	records map[string]*drainRecord // guarded by mu
}

// NewDrains returns a Drains that has read no records yet. name is the name of the entry.
func NewDrains(st store.Store, name string) *Drains {
	return &Drains{store: st, name: name, records: make(map[string]*drainRecord)}
}

// Source returns the source of drains for a system whose operators set them at this
// interface.
func (d *Drains) Source() core.DrainSource {
	return core.DrainSource{Partition: drainsPartition, Decode: d.decode}
}

// decode stores a record that the entry has read, and returns the change that it makes.
func (d *Drains) decode(r store.Record) (drains.Change, bool, error) {
	rec, err := parseDrainRecord(r)
	if err != nil {
		return drains.Change{}, false, err
	}
	d.update(r.Key, rec)
	return drains.Change{Domain: r.Key, Drained: rec.Drained}, true, nil
}

func parseDrainRecord(r store.Record) (*drainRecord, error) {
	rec := &drainRecord{}
	if err := json.Unmarshal(r.Value, rec); err != nil {
		return nil, errors.Wrapf(err, "drain of %.80q", r.Key)
	}
	if r.Key == "" || len(rec.History) == 0 {
		return nil, errors.Errorf("drain of %.80q: no history", r.Key)
	}
	return rec, nil
}

func drainEpoch(r store.Record) (int64, error) {
	rec, err := parseDrainRecord(r)
	if err != nil {
		return 0, err
	}
	return rec.Epoch, nil
}

func (d *Drains) update(domain string, rec *drainRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.records[domain]; old == nil || old.Version < rec.Version {
		d.records[domain] = rec
	}
}

// History returns the drain changes of a failure domain, newest last.
func (d *Drains) History(domain string) []api.DrainEntry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if rec := d.records[domain]; rec != nil {
		return rec.History
	}
	return nil
}

// Set drains a failure domain or ends its drain. It is idempotent: if the domain is already
// in that state, Set writes nothing and reports success, so an operator can retry a request
// whose response was lost.
func (d *Drains) Set(ctx context.Context, domain string, drained bool) state.ApplyResult {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	w := newFencedWriter(d.store, drainsPartition, drainProducer)
	for {
		out, err := d.trySet(ctx, w, domain, drained)
		switch {
		case err == nil:
			klog.InfoS("Set the drain of a failure domain", "domain", domain, "drained", drained, "version", out.Version)
			return out
		case !certainlyNotWritten(err) && w.appendSent:
			return state.ApplyResult{Outcome: state.Unknown, Reason: state.ReasonApplyUnknown, Detail: err.Error()}
		case ctx.Err() != nil:
			return notApplied(0, state.ReasonStoreUnavailable, err.Error())
		}
		klog.V(1).InfoS("Retrying to set the drain of a failure domain", "domain", domain, "epoch", w.epoch, "err", err)
		w.backOff(ctx)
	}
}

func (d *Drains) trySet(ctx context.Context, w *fencedWriter, domain string, drained bool) (state.ApplyResult, error) {
	records, err := w.fence(ctx, drainEpoch)
	if err != nil {
		return state.ApplyResult{}, err
	}
	next := drainRecord{}
	for _, r := range records {
		if r.Key != domain {
			continue
		}
		old, err := parseDrainRecord(r)
		if err != nil {
			return state.ApplyResult{}, err
		}
		next = *old
	}
	if next.Drained == drained {
		return state.ApplyResult{Version: next.Version, Outcome: state.Complete}, nil
	}
	next.Drained, next.Epoch = drained, w.epoch
	next.Version++
	next.History = append(slices.Clone(next.History), api.DrainEntry{
		Version: next.Version, Drained: drained, By: d.name, At: time.Now().UTC().Truncate(time.Second),
	})
	next.History = next.History[max(0, len(next.History)-maxHistory):]
	value, err := json.Marshal(&next)
	if err != nil {
		return state.ApplyResult{}, errors.Wrap(err, "drain")
	}
	if err := w.append(ctx, store.Record{Key: domain, Value: value}); err != nil {
		return state.ApplyResult{}, err
	}
	d.update(domain, &next)
	return state.ApplyResult{Version: next.Version, Outcome: state.Complete}, nil
}
