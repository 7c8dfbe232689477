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

// DeclarationsPartition is where the store keeps the declarations, one record
// for each operator.
var DeclarationsPartition = store.Partition{Topic: "keyed.declarations", Number: 0}

// maxHistory is how many applies of an operator its record lists: a day's, at
// eight changes a day each.
const maxHistory = 16

// declared is an operator's record.
type declared struct {
	Version state.Version `json:"version"`
	File    string        `json:"file"`
	// Owned has the region of each service that the operator has ever declared,
	// also while its file no longer names it: jobs are known by service and ID,
	// and a name that came back elsewhere would find others' answers.
	Owned   map[string]string  `json:"owned"`
	History []api.HistoryEntry `json:"history"`
	// Epoch is the one it was written under.
	Epoch int64 `json:"epoch"`
}

// Declarations are the operators' declarations in force, as far as they were
// read. It is safe for concurrent use.
type Declarations struct {
	store store.Store
	// name is this entry's, for the history.
	name string

	mu sync.RWMutex
	// All fields below are guarded by mu.

	operators map[string]*inForce
	services  map[string]string
	// reads counts the records taken in.
	reads int64
}

// inForce is one operator's declaration. It is never changed once made.
type inForce struct {
	declared
	file *declaration.File
}

// NewDeclarations returns declarations of which nothing was read yet.
func NewDeclarations(st store.Store, name string) *Declarations {
	return &Declarations{store: st, name: name, operators: make(map[string]*inForce), services: make(map[string]string)}
}

// Decode takes in a record that the entry has read. The table says only that
// there is something in force.
func (d *Declarations) Decode(r store.Record) (*routing.Table, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.takeLocked(r); err != nil {
		return nil, err
	}
	d.reads++
	return &routing.Table{Version: d.reads}, nil
}

func (d *Declarations) takeLocked(r store.Record) error {
	f, err := parseRecord(r)
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

func parseRecord(r store.Record) (*inForce, error) {
	f := &inForce{}
	if err := json.Unmarshal(r.Value, &f.declared); err != nil {
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

// Spec returns a service as declared.
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
	at := slices.IndexFunc(f.file.Services, func(s declaration.ServiceSpec) bool { return s.Name == name })
	return f.file, f.file.Services[at], true
}

// next returns the record that replaces an operator's declaration.
func (d *Declarations) next(old *inForce, base state.Version, raw []byte, file *declaration.File, now time.Time) declared {
	out := declared{Version: base + 1, File: string(raw), Owned: make(map[string]string)}
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
