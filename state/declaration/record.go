package declaration

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// MaxRecordBytes is the largest record this package makes: a file of the
// largest size, escaped, and the names its operator owns.
const MaxRecordBytes = 224 << 10

// Kind says what a record of the declaration stream is.
type Kind string

// The kinds of records.
const (
	KindApply   Kind = "apply"
	KindRefresh Kind = "refresh"
	// KindRestoreBegin, KindReport and KindRestoreCommit are those of a restore,
	// see restore.go.
	KindRestoreBegin  Kind = "restore_begin"
	KindReport        Kind = "report"
	KindRestoreCommit Kind = "restore_commit"
)

// recordFormat is the newest format of records that this package reads. A
// record without one has format 1. Whoever changes what a record means, or adds
// a kind, raises it.
const recordFormat = 1

// ErrNewer says that a record was written in a format that came after this
// process was built.
var ErrNewer = errors.New("record of a newer format or of an unknown kind")

// Record is one record of the declaration stream.
type Record struct {
	Format   int    `json:"format,omitempty"`
	Kind     Kind   `json:"kind"`
	Operator string `json:"operator,omitempty"`
	// ApplyID identifies the apply, or the restore; a refresh or a report repeats
	// that of the version in force.
	ApplyID string `json:"apply_id"`
	// File is the operator's file as it was handed in, comments included.
	File string `json:"file,omitempty"`
	// Base, of an apply, is the version it replaces; 0 for a first declaration.
	Base state.Version `json:"base,omitempty"`

	// The rest is set in a refresh only; a report has Version and Owned too.

	// Version is the operator's version once the stream was read to Through.
	Version state.Version `json:"version,omitempty"`
	// Through is the last offset that the writer had read.
	Through int64 `json:"through,omitempty"`
	// Created is the operator's first accepted version.
	Created state.Version `json:"created,omitempty"`
	// Operators is how many operators there were at Through, so that a reader
	// of a truncated stream knows when it has seen all of them. A refresh that
	// names no operator says that there was none.
	Operators int `json:"operators,omitempty"`
	// Owned are the services that the operator owned at Through.
	Owned []Owned `json:"owned,omitempty"`

	// Listed, of a restore's begin, are the versions its writer has in force.
	Listed []Listed `json:"listed,omitempty"`
	// Begin, of a restore's commit, is the offset of its begin; of a report, that
	// of the restore it is for, and 0 if it is for none.
	Begin int64 `json:"begin,omitempty"`
	// From, of a restore's commit, is the first offset whose undecided applies
	// are judged by it.
	From int64 `json:"from,omitempty"`
}

// Listed is an operator's version in force at the writer of a restore's begin.
type Listed struct {
	Operator string        `json:"operator"`
	Version  state.Version `json:"version"`
}

// Owned is one service name that belongs to an operator.
type Owned struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Since is the version that created it.
	Since state.Version `json:"since"`
}

// Encode returns the record as it goes into the stream.
func (r *Record) Encode() ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false) // files are full of <, > and &; escaping them doubles some
	if err := enc.Encode(r); err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	data := bytes.TrimSuffix(buf.Bytes(), []byte("\n"))
	if len(data) > MaxRecordBytes {
		return nil, errors.Errorf("record of %d bytes is larger than %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// DecodeRecord reads a record of the stream. What is no record at all is
// skipped by every node alike. The error is ErrNewer for a record that only a
// younger process can read: it may have changed anything.
func DecodeRecord(data []byte) (*Record, error) {
	var envelope struct {
		Format int  `json:"format"`
		Kind   Kind `json:"kind"`
	}
	if err := json.Unmarshal(data, &envelope); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	if envelope.Format > recordFormat || !envelope.Kind.known() {
		return nil, errors.Wrapf(ErrNewer, "format %d, kind %q", envelope.Format, envelope.Kind)
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	return &r, nil
}

func (k Kind) known() bool {
	switch k {
	case KindApply, KindRefresh, KindRestoreBegin, KindReport, KindRestoreCommit:
		return true
	}
	return false
}

func (r *Record) check() error {
	whole := r.Kind == KindRestoreBegin || r.Kind == KindRestoreCommit || r.Kind == KindRefresh && r.Operators == 0
	if !(whole && r.Operator == "") && !ValidName(r.Operator) || r.ApplyID == "" || len(r.ApplyID) > 2*state.MaxIDLength {
		return errors.New("record without a valid operator and apply id")
	}
	for _, l := range r.Listed {
		if !ValidName(l.Operator) || l.Version <= 0 {
			return errors.Errorf("record that lists operator %q at version %d", l.Operator, l.Version)
		}
	}
	return nil
}
