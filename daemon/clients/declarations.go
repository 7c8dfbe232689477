package clients

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/state/routing"
	"github.com/shallotstep/shallotstep/state/store"
)

// DeclarationsPartition is the partition of the store that holds the declarations,
// with one record per operator.
var DeclarationsPartition = store.Partition{Topic: "keyed.declarations", Number: 0}

// maxHistory is the number of changes in the history of an operator's declaration or
// of a failure domain's drain. It covers at least a day: an operator makes about
// eight changes a day.
const maxHistory = 16

// declarationRecord is the stored record of an operator's declaration.
type declarationRecord struct {
	Version state.Version `json:"version"`
	File    string        `json:"file"`
	// Owned maps each service that the operator has ever declared to its region. It
	// keeps services that the file no longer names: jobs are identified by service
	// and ID, so a service that is declared again by another operator or in another
	// region would return the answers of earlier jobs.
	Owned   map[string]string  `json:"owned"`
	History []api.HistoryEntry `json:"history"`
	// Epoch is the epoch under which the record was written.
	Epoch int64 `json:"epoch"`
}

// Declarations holds the operators' declarations in force that the entry has read
// from the store. It is safe for concurrent use.
type Declarations struct {
	store store.Store
	// name is the name of this entry, for the history.
	name string

	mu sync.RWMutex
	// All fields below are guarded by mu.

	// operators maps operators to their declarations.
	operators map[string]*declarationInForce
	// services maps services to their operators.
	services map[string]string
	// recordsRead counts the records read from the store.
	recordsRead int64
}

// declarationInForce is an operator's declaration in force. It is immutable.
type declarationInForce struct {
	declarationRecord
	file *declaration.File
}

// NewDeclarations returns a Declarations that has read no records yet. name is the
// name of the entry.
func NewDeclarations(st store.Store, name string) *Declarations {
	return &Declarations{store: st, name: name, operators: make(map[string]*declarationInForce), services: make(map[string]string)}
}

// Decode puts a record that the entry has read into force. The returned table has no
// routes; it only tells the entry that a declaration is in force.
func (d *Declarations) Decode(r store.Record) (*routing.Table, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.updateLocked(r); err != nil {
		return nil, err
	}
	d.recordsRead++
	return &routing.Table{Version: d.recordsRead}, nil
}

func (d *Declarations) updateLocked(r store.Record) error {
	f, err := parseDeclarationRecord(r)
	if err != nil {
		return err
	}
	if old := d.operators[r.Key]; old != nil && old.Version >= f.Version {
		return nil
	}
	d.operators[r.Key] = f
	maps.DeleteFunc(d.services, func(_, operator string) bool { return operator == r.Key })
	for _, s := range f.file.Services {
		d.services[s.Name] = r.Key
	}
	klog.InfoS("A declaration is in force", "operator", r.Key, "version", f.Version, "services", len(f.file.Services))
	return nil
}

func parseDeclarationRecord(r store.Record) (*declarationInForce, error) {
	f := &declarationInForce{}
	if err := json.Unmarshal(r.Value, &f.declarationRecord); err != nil {
		return nil, errors.Wrapf(err, "declaration of %s", r.Key)
	}
	var err error
	f.file, err = declaration.Parse(r.Key, []byte(f.File))
	if err != nil {
		return nil, errors.Wrapf(err, "declaration of %s", r.Key)
	}
	if len(f.History) == 0 {
		return nil, errors.Errorf("declaration of %s: no history", r.Key)
	}
	return f, nil
}

// Loaded reports whether any declaration is in force.
func (d *Declarations) Loaded() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.operators) > 0
}

// Get implements httpapi.Declarer.
func (d *Declarations) Get(operator string) (api.Declaration, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	f := d.operators[operator]
	if f == nil {
		return api.Declaration{}, false
	}
	return api.Declaration{Version: f.Version, Raw: []byte(f.File)}, true
}

// History implements httpapi.Declarer.
func (d *Declarations) History(operator string) []api.HistoryEntry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if f := d.operators[operator]; f != nil {
		return f.History
	}
	return nil
}

// Operators implements httpapi.Declarer.
func (d *Declarations) Operators() []api.OperatorVersion {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]api.OperatorVersion, 0, len(d.operators))
	for _, name := range slices.Sorted(maps.Keys(d.operators)) {
		f := d.operators[name]
		v := api.OperatorVersion{Operator: name, Version: f.Version}
		for _, s := range f.file.Services {
			v.Services = append(v.Services, s.Name)
		}
		out = append(out, v)
	}
	return out
}

// Service implements httpapi.Declarer.
func (d *Declarations) Service(name string) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	operator, ok := d.services[name]
	return operator, ok
}

// Spec returns the declaration of a service.
func (d *Declarations) Spec(name string) (declaration.ServiceSpec, bool) {
	_, spec, ok := d.service(name)
	return spec, ok
}

func (d *Declarations) service(name string) (*declaration.File, declaration.ServiceSpec, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	f := d.operators[d.services[name]]
	if f == nil {
		return nil, declaration.ServiceSpec{}, false
	}
	i := slices.IndexFunc(f.file.Services, func(s declaration.ServiceSpec) bool { return s.Name == name })
	return f.file, f.file.Services[i], true
}

// nextRecord returns the record that replaces an operator's declaration old, which
// is nil if there is none.
func (d *Declarations) nextRecord(old *declarationInForce, base state.Version, raw []byte, file *declaration.File, now time.Time) declarationRecord {
	out := declarationRecord{Version: base + 1, File: string(raw), Owned: make(map[string]string)}
	if old != nil {
		maps.Copy(out.Owned, old.Owned)
		out.History = slices.Clone(old.History)
	}
	for _, s := range file.Services {
		out.Owned[s.Name] = s.Region
	}
	sum := sha256.Sum256(raw)
	out.History = append(out.History, api.HistoryEntry{
		Version: out.Version, Base: base, By: d.name, At: now.UTC().Truncate(time.Second), Digest: hex.EncodeToString(sum[:]),
	})
	out.History = out.History[max(0, len(out.History)-maxHistory):]
	return out
}
