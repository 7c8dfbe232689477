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
)

// Record is one record of the declaration stream.
type Record struct {
	Kind     Kind   `json:"kind"`
	Operator string `json:"operator"`
	// ApplyID identifies the apply; a refresh repeats that of the version in force.
	ApplyID string `json:"apply_id"`
	// File is the operator's file as it was handed in, comments included.
	File string `json:"file"`
	// Base, of an apply, is the version it replaces; 0 for a first declaration.
	Base state.Version `json:"base,omitempty"`

	// The rest is set in a refresh only.

	// Version is the operator's version once the stream was read to Through.
	Version state.Version `json:"version,omitempty"`
	// Through is the last offset that the writer had read.
	Through int64 `json:"through,omitempty"`
	// Created is the operator's first accepted version.
	Created state.Version `json:"created,omitempty"`
	// Operators is how many operators there were at Through, so that a reader
	// of a truncated stream knows when it has seen all of them.
	Operators int `json:"operators,omitempty"`
	// Owned are the services that the operator owned at Through.
	Owned []Owned `json:"owned,omitempty"`
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

// DecodeRecord reads a record of the stream. Every node skips a record that
// can't be decoded, so all of them still judge the others alike.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	if r.Kind != KindApply && r.Kind != KindRefresh {
		return nil, errors.Errorf("record of unknown kind %q", r.Kind)
	}
	if !ValidName(r.Operator) || r.ApplyID == "" || len(r.ApplyID) > 2*state.MaxIDLength {
		return nil, errors.New("record without a valid operator and apply id")
	}
	return &r, nil
}
