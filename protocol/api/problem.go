// Package api defines the JSON documents that clients and operators exchange with
// an entry over HTTP: submissions, answers, problem documents (RFC 9457),
// declarations, drains and the status. Submissions are decoded strictly, because
// a field that is silently ignored or given twice may start the wrong work.
package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// Media types of request and response bodies.
const (
	ContentTypeJSON    = "application/json"
	ContentTypeProblem = "application/problem+json"
)

// problemTypePrefix is the part of a problem's type URI before the reason.
const problemTypePrefix = "urn:shallotstep:problem:"

// Problem describes a refusal or a failure to the caller.
type Problem struct {
	// Type is a URI that identifies the reason, and Title describes the reason
	// for people.
	Type   string
	Title  string
	Status int
	Detail string
	// ID is the id of the submission, if known.
	ID      string
	Outcome state.Outcome
	Reason  state.Reason
	// RetryAfter is the time to wait before a retry. Zero means that a retry
	// doesn't help.
	RetryAfter time.Duration
	// Version is the version in force. It is set only if a declaration is
	// refused.
	Version state.Version
}

// NewProblem returns the problem document for a reason.
func NewProblem(reason state.Reason, outcome state.Outcome, format string, args ...any) *Problem {
	return &Problem{
		Type:    problemTypePrefix + string(reason),
		Title:   Title(reason),
		Status:  reason.HTTPStatus(),
		Detail:  fmt.Sprintf(format, args...),
		Outcome: outcome,
		Reason:  reason,
	}
}

// malformed returns the problem for input that every entry refuses. Its outcome
// is NotRun, because no entry can have accepted such a submission.
func malformed(format string, args ...any) *Problem {
	return NewProblem(state.ReasonMalformed, state.NotRun, format, args...)
}

// ProblemOf returns the problem document for an answer, or nil if the answer is
// complete or pending.
func ProblemOf(a state.Answer) *Problem {
	if a.Outcome == state.Complete || a.Outcome == state.Pending {
		return nil
	}
	p := NewProblem(a.Reason, a.Outcome, "%s", a.Detail)
	if a.Reason == state.ReasonNone {
		p = NewProblem(state.ReasonInternal, a.Outcome, "%s", a.Detail)
	}
	p.ID = a.Key.ID
	p.RetryAfter = a.RetryAfter
	return p
}

// RetryAfterSeconds returns the value of the Retry-After header, rounded up
// because the header has whole seconds only. It is empty if a retry doesn't
// help.
func (p *Problem) RetryAfterSeconds() string {
	if p.RetryAfter <= 0 {
		return ""
	}
	seconds := (p.RetryAfter + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}

// String returns the problem on one line.
func (p *Problem) String() string {
	s := fmt.Sprintf("%s (%s): %s", p.Outcome, p.Reason, p.Title)
	if p.Detail != "" {
		s += ": " + p.Detail
	}
	return s
}

// problemWire is the JSON form of a Problem.
type problemWire struct {
	Type         string        `json:"type"`
	Title        string        `json:"title"`
	Status       int           `json:"status"`
	Detail       string        `json:"detail,omitempty"`
	ID           string        `json:"id,omitempty"`
	Outcome      Outcome       `json:"outcome"`
	Reason       state.Reason  `json:"reason"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
	Version      state.Version `json:"version,omitempty"`
}

// MarshalJSON encodes the problem with its extension members.
func (p *Problem) MarshalJSON() ([]byte, error) {
	return marshal(problemWire{
		Type:         p.Type,
		Title:        p.Title,
		Status:       p.Status,
		Detail:       p.Detail,
		ID:           p.ID,
		Outcome:      Outcome(p.Outcome),
		Reason:       p.Reason,
		RetryAfterMS: ceilMS(p.RetryAfter),
		Version:      p.Version,
	})
}

// UnmarshalJSON decodes a problem. The outcome of a problem without one is
// unknown: it was written by a program that doesn't implement this interface,
// such as a proxy.
func (p *Problem) UnmarshalJSON(data []byte) error {
	w := problemWire{Outcome: Outcome(state.Unknown)}
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*p = Problem{
		Type:       w.Type,
		Title:      w.Title,
		Status:     w.Status,
		Detail:     w.Detail,
		ID:         w.ID,
		Outcome:    state.Outcome(w.Outcome),
		Reason:     w.Reason,
		RetryAfter: time.Duration(w.RetryAfterMS) * time.Millisecond,
		Version:    w.Version,
	}
	return nil
}

// ceilMS returns d in milliseconds, rounded up so that a short wait doesn't
// become zero.
func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// marshal encodes v as JSON without HTML escaping, ending with a newline.
func marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	err := enc.Encode(v)
	return buf.Bytes(), err
}
