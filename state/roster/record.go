package roster

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// Version is the version of the record format. A reader treats a record of
// another version as bad, which has no effect; so a new version may be written
// only when every node reads it, or rosters would differ.
const Version = 1

// Kind names what a record says.
type Kind string

// The kinds of records.
const (
	KindJoin        Kind = "join"
	KindLeave       Kind = "leave"
	KindEvict       Kind = "evict"
	KindConfirmLost Kind = "confirm_lost"
	KindSnapshot    Kind = "snapshot"
	// kindPacked is a snapshot in fewer bytes. A reader that doesn't know it takes
	// it for a bad record, which has no effect, and not for an empty roster.
	kindPacked Kind = "snapshot_packed"
)

// ErrBadRecord is the cause of every failure to decode a record.
var ErrBadRecord = errors.New("bad roster record")

// Record is what one entry of the roster stream says.
type Record interface{ kind() Kind }

// Join adds an agent. It has no effect on one that is a member already.
type Join struct{ Member state.Member }

// Leave removes an agent that stops as planned.
type Leave struct{ NodeID state.NodeID }

// Evict removes an agent that others hold to be dead.
type Evict struct {
	NodeID state.NodeID
	By     state.NodeID
}

// ConfirmLost is the operator's word that hosts which are no longer members are
// dead and grant nothing any more. Members it names are passed over.
type ConfirmLost struct {
	// ID is the writer's own, by which it finds the record when the reply to
	// the append was lost. It has no effect and may be empty.
	ID      string
	NodeIDs []state.NodeID
	// AcceptRerun opens their shares at once: the operator accepts that a job
	// which only the dead knew of runs again. Without it the shares open when
	// the last claim the dead may have granted has passed its retention.
	AcceptRerun bool
}

// Snapshot is the whole roster, written again before the log drops the records
// that it stands for.
type Snapshot struct {
	// Through is the offset of the last record the snapshot takes account of.
	Through int64
	Epoch   state.Epoch
	Members []state.Member
	Pairs   []RegionEpochs
}

// RegionEpochs holds the epoch of each share's pair in one region.
type RegionEpochs struct {
	Region string
	Epochs []state.Epoch
}

func (Join) kind() Kind        { return KindJoin }
func (Leave) kind() Kind       { return KindLeave }
func (Evict) kind() Kind       { return KindEvict }
func (ConfirmLost) kind() Kind { return KindConfirmLost }
func (Snapshot) kind() Kind    { return KindSnapshot }

type envelope struct {
	Version int             `json:"v"`
	Kind    Kind            `json:"kind"`
	Body    json.RawMessage `json:"body"`
}

// Encode returns the record as it goes into the log.
func Encode(r Record) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode roster record")
	}
	kind := r.kind()
	if kind == KindSnapshot {
		kind, body = kindPacked, pack(body)
	}
	return json.Marshal(envelope{Version: Version, Kind: kind, Body: body})
}

// Decode reads a record from the log. Its errors have the cause ErrBadRecord.
func Decode(data []byte) (Record, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(ErrBadRecord, err.Error())
	}
	if e.Version != Version {
		return nil, errors.Wrapf(ErrBadRecord, "version %d", e.Version)
	}
	switch e.Kind {
	case KindJoin:
		return decodeBody(e.Body, Join.check)
	case KindLeave:
		return decodeBody(e.Body, Leave.check)
	case KindEvict:
		return decodeBody(e.Body, Evict.check)
	case KindConfirmLost:
		return decodeBody(e.Body, ConfirmLost.check)
	case KindSnapshot:
		return decodeBody(e.Body, Snapshot.check)
	case kindPacked:
		body, err := unpack(e.Body)
		if err != nil {
			return nil, errors.Wrapf(ErrBadRecord, "%s: %v", e.Kind, err)
		}
		return decodeBody(body, Snapshot.check)
	case KindSuspect:
		return decodeBody(e.Body, Suspect.check)
	case KindAlive:
		return decodeBody(e.Body, Alive.check)
	}
	return nil, errors.Wrapf(ErrBadRecord, "kind %q", e.Kind)
}

func decodeBody[R Record](body []byte, check func(R) bool) (Record, error) {
	var r R
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(ErrBadRecord, err.Error())
	}
	if !check(r) {
		return nil, errors.Wrapf(ErrBadRecord, "%s: incomplete", r.kind())
	}
	return r, nil
}

func (r Join) check() bool        { return validMember(r.Member) }
func (r Leave) check() bool       { return r.NodeID != "" }
func (r Evict) check() bool       { return r.NodeID != "" }
func (r ConfirmLost) check() bool { return len(r.NodeIDs) > 0 }

// check refuses a snapshot that names a member or a region twice, or a member
// of a region it gives no epochs for: such a roster can't be built.
func (r Snapshot) check() bool {
	regions := make(map[string]bool)
	for _, p := range r.Pairs {
		if len(p.Epochs) != Shares || regions[p.Region] {
			return false
		}
		regions[p.Region] = true
	}
	ids := make(map[state.NodeID]bool)
	for _, m := range r.Members {
		if !validMember(m) || !regions[m.Region] || ids[m.ID] {
			return false
		}
		ids[m.ID] = true
	}
	return true
}

func validMember(m state.Member) bool {
	return m.ID != "" && m.Region != ""
}
