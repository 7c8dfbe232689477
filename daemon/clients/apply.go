package clients

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/state/store"
)

// declarer is the producer of all declarations; epochs tell writers apart.
const declarer = "operators"

// Apply implements httpapi.Declarer. It replaces an operator's declaration if
// base is still the version in force.
func (d *Declarations) Apply(ctx context.Context, operator string, base state.Version, raw []byte) state.ApplyResult {
	file, err := declaration.Parse(operator, raw)
	if err != nil {
		return notApplied(base, state.ReasonMalformed, err.Error())
	}
	if file.Operator != operator {
		return notApplied(base, state.ReasonMalformed, "the file is of operator "+file.Operator)
	}
	for _, s := range file.Services {
		if len(s.Placement.Racks) > 0 {
			// Accepted and not gone by, it would have tasks run where they must not.
			return notApplied(base, state.ReasonMalformed, "service "+s.Name+": placement by rack is not served")
		}
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	a := applying{Declarations: d, fencedWriter: newFencedWriter(d.store, DeclarationsPartition, declarer), operator: operator, base: base, raw: raw, file: file}
	out := a.run(ctx)
	klog.InfoS("Apply", "operator", operator, "base", base, "version", out.Version, "outcome", out.Outcome, "reason", out.Reason)
	return out
}

func notApplied(version state.Version, r state.Reason, detail string) state.ApplyResult {
	return state.ApplyResult{Version: version, Outcome: state.NotRun, Reason: r, Detail: detail}
}

// applying is one apply on its way.
type applying struct {
	*Declarations
	*fencedWriter
	operator string
	base     state.Version
	raw      []byte
	file     *declaration.File
}

func (a *applying) run(ctx context.Context) state.ApplyResult {
	for {
		all, err := a.begin(ctx)
		if err == nil {
			next, refusal := a.judge(all)
			if refusal != nil {
				return *refusal
			}
			err = a.write(ctx, next)
			if err == nil {
				return state.ApplyResult{Version: next.Version, Outcome: state.Complete}
			}
			if ctx.Err() != nil || !triedAgain(err) {
				return state.ApplyResult{Version: a.base, Outcome: state.Unknown, Reason: state.ReasonApplyUnknown, Detail: err.Error()}
			}
		}
		klog.V(1).InfoS("An apply is tried again", "operator", a.operator, "epoch", a.epoch, "err", err)
		if ctx.Err() != nil {
			return notApplied(a.base, state.ReasonStoreUnavailable, err.Error())
		}
		a.rest(ctx)
	}
}

// begin shuts out who is under way and returns what is in force.
func (a *applying) begin(ctx context.Context) (map[string]*inForce, error) {
	records, err := a.fence(ctx, declarationEpoch)
	if err != nil {
		return nil, err
	}
	out := make(map[string]*inForce, len(records))
	for _, r := range records {
		f, err := parseRecord(r)
		if err != nil {
			// Written over, it would be lost for good.
			return nil, err
		}
		out[r.Key] = f
	}
	return out, nil
}

func declarationEpoch(r store.Record) (int64, error) {
	f, err := parseRecord(r)
	if err != nil {
		return 0, err
	}
	return f.Epoch, nil
}

// judge says why the declaration can't be in force, or returns its record.
func (a *applying) judge(all map[string]*inForce) (*declared, *state.ApplyResult) {
	old := all[a.operator]
	current := state.Version(0)
	if old != nil {
		current = old.Version
		if current == a.base+1 && old.File == string(a.raw) {
			// A repeat whose first reply was lost.
			return nil, &state.ApplyResult{Version: current, Outcome: state.Complete}
		}
	}
	if current != a.base {
		out := notApplied(current, state.ReasonLostRace, fmt.Sprintf("made against version %d, but version %d is in force", a.base, current))
		return nil, &out
	}
	for _, s := range a.file.Services {
		for name, f := range all {
			region, owned := f.Owned[s.Name]
			switch {
			case owned && name != a.operator:
				out := notApplied(current, state.ReasonServiceOwned, "service "+s.Name+" is of operator "+name)
				return nil, &out
			case owned && region != s.Region:
				out := notApplied(current, state.ReasonRegionFixed, "service "+s.Name+" is in region "+region)
				return nil, &out
			}
		}
	}
	next := a.next(old, a.base, a.raw, a.file, time.Now())
	next.Epoch = a.epoch
	return &next, nil
}

// write has the record in the store, and has the entry that wrote it go by it at once.
func (a *applying) write(ctx context.Context, next *declared) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "declaration")
	}
	r := store.Record{Key: a.operator, Value: value}
	if err := a.append(ctx, r); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.takeLocked(r)
}
