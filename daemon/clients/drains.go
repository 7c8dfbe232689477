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

// drainsPartition is where the store keeps the drains, one record for each failure domain
// that ever was drained.
var drainsPartition = store.Partition{Topic: "keyed.drains", Number: 0}

// drainer is the producer of all drains; epochs tell writers apart.
const drainer = "drains"

// drainRecord is a failure domain's record. It stays when the drain ends, for its history.
type drainRecord struct {
	Drained bool             `json:"drained"`
	Version state.Version    `json:"version"`
	History []api.DrainEntry `json:"history"`
	// Epoch is the one it was written under.
	Epoch int64 `json:"epoch"`
}

// Drains are the drains of failure domains that operators have asked for at this interface,
// as far as they were read. It is safe for concurrent use.
type Drains struct {
	store store.Store
	// name is this entry's, for the history.
	name string

	mu      sync.RWMutex
	records map[string]*drainRecord // guarded by mu
}

// NewDrains returns drains of which nothing was read yet.
func NewDrains(st store.Store, name string) *Drains {
	return &Drains{store: st, name: name, records: make(map[string]*drainRecord)}
}

// Source is where a system whose drains are set at this interface reads them.
func (d *Drains) Source() core.DrainSource {
	return core.DrainSource{Partition: drainsPartition, Decode: d.decode}
}

// decode takes in a record that the entry has read.
func (d *Drains) decode(r store.Record) (drains.Change, bool, error) {
	rec, err := parseDrain(r)
	if err != nil {
		return drains.Change{}, false, err
	}
	d.take(r.Key, rec)
	return drains.Change{Domain: r.Key, Drained: rec.Drained}, true, nil
}

func parseDrain(r store.Record) (*drainRecord, error) {
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
	rec, err := parseDrain(r)
	if err != nil {
		return 0, err
	}
	return rec.Epoch, nil
}

func (d *Drains) take(domain string, rec *drainRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.records[domain]; old == nil || old.Version < rec.Version {
		d.records[domain] = rec
	}
}

// History returns what was asked for a failure domain, newest last.
func (d *Drains) History(domain string) []api.DrainEntry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if rec := d.records[domain]; rec != nil {
		return rec.History
	}
	return nil
}

// Set drains a failure domain, or ends its drain. What is so already stays as it is, and
// counts as done: a repeat whose first reply was lost does no harm.
func (d *Drains) Set(ctx context.Context, domain string, drained bool) state.ApplyResult {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	w := newFencedWriter(d.store, drainsPartition, drainer)
	for {
		out, err := d.setOnce(ctx, w, domain, drained)
		switch {
		case err == nil:
			klog.InfoS("A drain was set", "domain", domain, "drained", drained, "version", out.Version)
			return out
		case !triedAgain(err) && w.wrote:
			return state.ApplyResult{Outcome: state.Unknown, Reason: state.ReasonApplyUnknown, Detail: err.Error()}
		case ctx.Err() != nil:
			return notApplied(0, state.ReasonStoreUnavailable, err.Error())
		}
		klog.V(1).InfoS("A drain is tried again", "domain", domain, "epoch", w.epoch, "err", err)
		w.rest(ctx)
	}
}

func (d *Drains) setOnce(ctx context.Context, w *fencedWriter, domain string, drained bool) (state.ApplyResult, error) {
	records, err := w.fence(ctx, drainEpoch)
	if err != nil {
		return state.ApplyResult{}, err
	}
	next := drainRecord{}
	for _, r := range records {
		if r.Key != domain {
			continue
		}
		old, err := parseDrain(r)
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
	d.take(domain, &next)
	return state.ApplyResult{Version: next.Version, Outcome: state.Complete}, nil
}
