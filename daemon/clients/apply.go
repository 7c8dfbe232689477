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

// declarationProducer is the name of the producer of all declarations. Concurrent
// writers use the same name with different epochs.
const declarationProducer = "operators"

// Apply implements httpapi.Declarer. It replaces an operator's declaration if base
// is the version in force.
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
			// Tasks are not placed by rack. If the restriction were accepted and
			// ignored, tasks would run where the operator has ruled it out.
			return notApplied(base, state.ReasonMalformed, "service "+s.Name+": placement by rack is not served")
		}
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	a := applyOperation{Declarations: d, fencedWriter: newFencedWriter(d.store, DeclarationsPartition, declarationProducer), operator: operator, base: base, raw: raw, file: file}
	out := a.run(ctx)
	klog.InfoS("Apply", "operator", operator, "base", base, "version", out.Version, "outcome", out.Outcome, "reason", out.Reason)
	return out
}

func notApplied(version state.Version, r state.Reason, detail string) state.ApplyResult {
	return state.ApplyResult{Version: version, Outcome: state.NotRun, Reason: r, Detail: detail}
}

// applyOperation is an apply in progress.
type applyOperation struct {
	*Declarations
	*fencedWriter
	operator string
	base     state.Version
	raw      []byte
	file     *declaration.File
}

func (a *applyOperation) run(ctx context.Context) state.ApplyResult {
	for {
		all, err := a.fenceAndRead(ctx)
		if err == nil {
			next, refusal := a.prepareRecord(all)
			if refusal != nil {
				return *refusal
			}
			err = a.write(ctx, next)
			if err == nil {
				return state.ApplyResult{Version: next.Version, Outcome: state.Complete}
			}
			if ctx.Err() != nil || !certainlyNotWritten(err) {
				return state.ApplyResult{Version: a.base, Outcome: state.Unknown, Reason: state.ReasonApplyUnknown, Detail: err.Error()}
			}
		}
		klog.V(1).InfoS("Retrying an apply", "operator", a.operator, "epoch", a.epoch, "err", err)
		if ctx.Err() != nil {
			return notApplied(a.base, state.ReasonStoreUnavailable, err.Error())
		}
		a.backOff(ctx)
	}
}

// fenceAndRead fences off concurrent writers and returns the declarations in force
// by operator.
func (a *applyOperation) fenceAndRead(ctx context.Context) (map[string]*declarationInForce, error) {
	records, err := a.fence(ctx, declarationEpoch)
	if err != nil {
		return nil, err
	}
	out := make(map[string]*declarationInForce, len(records))
	for _, r := range records {
		f, err := parseDeclarationRecord(r)
		if err != nil {
			// Don't replace a record that can't be read: its content would be lost.
			return nil, err
		}
		out[r.Key] = f
	}
	return out, nil
}

func declarationEpoch(r store.Record) (int64, error) {
	f, err := parseDeclarationRecord(r)
	if err != nil {
		return 0, err
	}
	return f.Epoch, nil
}

// prepareRecord returns the record that replaces the operator's declaration, or the
// result that ends the apply without a write: a refusal, or success if the
// declaration is already in force.
func (a *applyOperation) prepareRecord(all map[string]*declarationInForce) (*declarationRecord, *state.ApplyResult) {
	old := all[a.operator]
	current := state.Version(0)
	if old != nil {
		current = old.Version
		if current == a.base+1 && old.File == string(a.raw) {
			// The operator retries an apply whose response was lost.
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
	next := a.nextRecord(old, a.base, a.raw, a.file, time.Now())
	next.Epoch = a.epoch
	return &next, nil
}

// write appends the record to the store and puts it into force at this entry
// immediately.
func (a *applyOperation) write(ctx context.Context, next *declarationRecord) error {
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
	return a.updateLocked(r)
}
