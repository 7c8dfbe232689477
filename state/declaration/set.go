package declaration

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// shardCount is how many locks the declarations in force stand under. Requests
// read one shard each; 32 keep them from meeting on one lock.
const shardCount = 32

// UnknownBase stands for a base that this node has not seen.
const UnknownBase state.Version = -1

// Accepted is the declaration of one operator in force. It is immutable.
type Accepted struct {
	Operator string
	Version  state.Version
	// Base is the version it replaced; 0 if it was the first, UnknownBase if
	// this node learned of it other than by its apply record.
	Base    state.Version
	ApplyID string
	File    *File
	// Raw is the file as it was handed in, comments included.
	Raw string
}

// Set holds every operator's declaration in force. It is safe for concurrent
// use; Service and Operator take one shard's read lock each.
//
// Two views stand side by side. The ledger judges the log and nothing else. The
// declarations in force are the newest of the ledger's and the peers', each
// operator's version moving forward only.
type Set struct {
	// mu orders writers.
	mu sync.Mutex
	// ledger, histories and outcomes are guarded by mu.
	ledger    *ledger
	histories map[string][]HistoryEntry
	outcomes  *outcomes
	// moved are the operators whose declaration in force is newer than when Moved
	// was last called; guarded by mu.
	moved map[string]struct{}

	operators [shardCount]operatorShard
	services  [shardCount]serviceShard
}

type operatorShard struct {
	mu sync.RWMutex
	// accepted is guarded by mu.
	accepted map[string]*Accepted
}

type serviceShard struct {
	mu sync.RWMutex
	// specs is guarded by mu.
	specs map[string]ownedSpec
}

// ownedSpec is a service in force and whose it is.
type ownedSpec struct {
	operator string
	spec     ServiceSpec
}

// NewSet returns an empty set that has read nothing.
func NewSet() *Set {
	s := &Set{
		ledger:    newLedger(),
		histories: make(map[string][]HistoryEntry),
		outcomes:  newOutcomes(),
		moved:     make(map[string]struct{}),
	}
	for i := range shardCount {
		s.operators[i].accepted = make(map[string]*Accepted)
		s.services[i].specs = make(map[string]ownedSpec)
	}
	return s
}

// Apply takes the record at an offset of the declaration stream. Records must
// come in order; one that was read before is Ignored, and a jump in the offsets
// counts as records missed. The error says that the record can't be decoded:
// it is skipped, as every other node skips it.
func (s *Set) Apply(offset int64, data []byte) (Event, error) {
	rec, err := DecodeRecord(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.advance(offset) {
		return Event{Verdict: VerdictIgnored, Offset: offset}, nil
	}
	if errors.Is(err, ErrNewer) && !s.ledger.disabled.newerFormat {
		s.ledger.restart(offset + 1)
		return Event{Verdict: VerdictUnreadable, Offset: offset}, nil
	}
	if err != nil {
		return Event{Verdict: VerdictIgnored, Offset: offset}, errors.Wrapf(err, "offset %d", offset)
	}
	ev := s.judgeLocked(offset, rec)
	s.noteLocked(ev)
	for _, settled := range ev.Settled {
		s.noteLocked(settled)
	}
	s.publishLocked(ev)
	return ev, nil
}

// ReadTo tells the set that the stream was read to an offset, which its present
// end follows. Records that were not handed in up to there are missing. This
// matters when nothing is left: a newcomer at an emptied stream would otherwise
// believe that it had read everything and that nothing is declared.
func (s *Set) ReadTo(offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset > s.ledger.through && !s.ledger.disabled.gapCheck {
		s.ledger.restart(offset + 1)
	}
}

func (s *Set) judgeLocked(offset int64, rec *Record) Event {
	switch rec.Kind {
	case KindRefresh:
		return s.ledger.refresh(offset, rec)
	case KindRestoreBegin:
		return s.ledger.begin(offset, rec)
	case KindReport:
		return s.reportLocked(offset, rec)
	case KindRestoreCommit:
		return s.ledger.commit(offset, rec)
	}
	return s.ledger.apply(offset, rec)
}

// publishLocked puts in force what an event changed in the ledger.
func (s *Set) publishLocked(ev Event) {
	if len(ev.Settled) > 0 || ev.Verdict == VerdictRestored {
		for operator := range s.ledger.accounts {
			s.publishOperatorLocked(operator)
		}
		return
	}
	if s.ledger.contested(ev.Operator) {
		return
	}
	if ev.Verdict == VerdictAccepted || ev.Verdict == VerdictRefreshed {
		s.publishOperatorLocked(ev.Operator)
	}
}

func (s *Set) publishOperatorLocked(operator string) {
	acc := s.ledger.accounts[operator]
	if acc == nil {
		return
	}
	s.adoptLocked(&Accepted{
		Operator: operator,
		Version:  acc.version,
		Base:     acc.base,
		ApplyID:  acc.applyID,
		File:     acc.file,
		Raw:      acc.raw,
	})
}

// MergePeer takes a declaration in force at a peer, if it is newer than the one
// here. It reports whether it was.
func (s *Set) MergePeer(rec message.DeclarationRecord) (bool, error) {
	if cur, ok := s.Operator(rec.Operator); ok && cur.Version >= rec.Version {
		return false, nil
	}
	file, err := Parse(rec.Operator, rec.File)
	if err != nil {
		return false, errors.Wrap(err, "declaration of a peer")
	}
	if file.Operator != rec.Operator || rec.Version <= 0 {
		return false, errors.Errorf("declaration of a peer for %q names operator %q, version %d",
			rec.Operator, file.Operator, rec.Version)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.adoptLocked(&Accepted{
		Operator: rec.Operator,
		Version:  rec.Version,
		Base:     UnknownBase,
		ApplyID:  rec.ApplyID,
		File:     file,
		Raw:      string(rec.File),
	}), nil
}

// adoptLocked puts a declaration in force unless it is older than the one that
// is: versions only move forward, whatever order records and peers come in.
func (s *Set) adoptLocked(a *Accepted) bool {
	shard := s.operatorShard(a.Operator)
	shard.mu.Lock()
	old := shard.accepted[a.Operator]
	if old != nil && old.Version >= a.Version && !s.ledger.disabled.forwardOnly && !s.ledger.disabled.refreshCurrent {
		shard.mu.Unlock()
		return false
	}
	shard.accepted[a.Operator] = a
	shard.mu.Unlock()
	s.moved[a.Operator] = struct{}{}
	s.replaceServicesLocked(old, a)
	return true
}

// Moved returns the operators whose declaration in force has changed since the
// last call, in no particular order. It has one caller at most.
func (s *Set) Moved() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.moved) == 0 {
		return nil
	}
	out := make([]string, 0, len(s.moved))
	for operator := range s.moved {
		out = append(out, operator)
	}
	clear(s.moved)
	return out
}

func (s *Set) replaceServicesLocked(old, a *Accepted) {
	for i := range a.File.Services {
		spec := a.File.Services[i]
		shard := s.serviceShard(spec.Name)
		shard.mu.Lock()
		shard.specs[spec.Name] = ownedSpec{operator: a.Operator, spec: spec}
		shard.mu.Unlock()
	}
	if old == nil {
		return
	}
	for i := range old.File.Services {
		s.dropServiceLocked(a, old.File.Services[i].Name)
	}
}

// dropServiceLocked removes a service that its operator doesn't declare any more.
func (s *Set) dropServiceLocked(a *Accepted, name string) {
	declared := slices.ContainsFunc(a.File.Services, func(spec ServiceSpec) bool { return spec.Name == name })
	if declared {
		return
	}
	shard := s.serviceShard(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.specs[name].operator == a.Operator {
		delete(shard.specs, name)
	}
}

// Service returns a service in force and the operator it belongs to.
func (s *Set) Service(name string) (ServiceSpec, string, bool) {
	shard := s.serviceShard(name)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	o, ok := shard.specs[name]
	return o.spec, o.operator, ok
}

// Operator returns an operator's declaration in force.
func (s *Set) Operator(name string) (Accepted, bool) {
	shard := s.operatorShard(name)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	a := shard.accepted[name]
	if a == nil {
		return Accepted{}, false
	}
	return *a, true
}

// Operators returns the names of all operators with a declaration, sorted.
func (s *Set) Operators() []string {
	var names []string
	for i := range s.operators {
		shard := &s.operators[i]
		shard.mu.RLock()
		for name := range shard.accepted {
			names = append(names, name)
		}
		shard.mu.RUnlock()
	}
	slices.Sort(names)
	return names
}

// Digest sums up the declarations in force: two nodes with the same digest have
// the same operators at the same versions with the same files.
func (s *Set) Digest() state.Digest {
	h := sha256.New()
	var buf [8]byte
	put := func(v string) {
		binary.BigEndian.PutUint64(buf[:], uint64(len(v)))
		h.Write(buf[:])
		h.Write([]byte(v))
	}
	for _, name := range s.Operators() {
		a, ok := s.Operator(name)
		if !ok {
			continue
		}
		put(name)
		put(a.ApplyID)
		put(a.Raw)
		binary.BigEndian.PutUint64(buf[:], uint64(a.Version))
		h.Write(buf[:])
	}
	var d state.Digest
	h.Sum(d[:0])
	return d
}

// Through returns the last offset read; reading goes on after it.
func (s *Set) Through() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.through
}

// Start returns the first offset that was read without a gap up to Through.
func (s *Set) Start() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.start
}

// Complete reports whether this node knows every operator's state from the log
// and so can judge whatever is read next.
func (s *Set) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.complete
}

// Refresh returns the record that repeats an operator's state, if this node may
// write one.
func (s *Set) Refresh(operator string) (*Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.refreshRecord(operator)
}

// Refreshable returns the operators that a node with a complete view refreshes:
// all that there are, or the empty name, which says that there are none.
func (s *Set) Refreshable() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.complete {
		return nil
	}
	if len(s.ledger.accounts) == 0 {
		return []string{""}
	}
	return slices.Sorted(maps.Keys(s.ledger.accounts))
}

// Check says why a valid file would certainly be refused whatever its base: a
// service name belongs to another operator or has its region fixed. Both hold
// for good, so this refusal can't turn out wrong later.
func (s *Set) Check(operator string, file *File) (state.Reason, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.check(operator, file)
}

func (s *Set) operatorShard(name string) *operatorShard {
	return &s.operators[xxhash.Sum64String(name)%shardCount]
}

func (s *Set) serviceShard(name string) *serviceShard {
	return &s.services[xxhash.Sum64String(name)%shardCount]
}
