package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// CheckName names a check on answers.
type CheckName string

// The checks.
const (
	// CheckReadable: a reply that arrived is a JSON document.
	CheckReadable CheckName = "readable"
	// CheckWhole: a 200 holds one result for each task.
	CheckWhole CheckName = "whole"
	// CheckOwn: an answer and each of its results belong to this request.
	CheckOwn CheckName = "own"
	// CheckSame: both submissions under one id are told the same.
	CheckSame CheckName = "same"
	// CheckNotRun: no id is "not run" that another answer says ran, unless the
	// submission that ran was sent after the "not run" had come.
	CheckNotRun CheckName = "not_run"
	// CheckCancel: no job is both cancelled and complete.
	CheckCancel CheckName = "cancel"
)

var checkNames = []CheckName{CheckReadable, CheckWhole, CheckOwn, CheckSame, CheckNotRun, CheckCancel}

// maxViolations bounds how many violations a report spells out.
const maxViolations = 20

// Check counts how often a check was made and how often it failed.
type Check struct {
	Name   CheckName `json:"name"`
	Made   int       `json:"made"`
	Failed int       `json:"failed"`
}

// Violation is one failed check.
type Violation struct {
	Check  CheckName `json:"check"`
	Job    string    `json:"job"`
	Detail string    `json:"detail"`
}

// checker makes the checks on the answers of a run.
type checker struct {
	counts     map[CheckName]*Check
	violations []Violation
}

func newChecker() *checker {
	c := &checker{counts: make(map[CheckName]*Check)}
	for _, name := range checkNames {
		c.counts[name] = &Check{Name: name}
	}
	return c
}

// expect makes one check.
func (c *checker) expect(name CheckName, job string, holds bool, format string, args ...any) {
	c.counts[name].Made++
	if holds {
		return
	}
	c.counts[name].Failed++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{name, job, fmt.Sprintf(format, args...)})
	}
}

func (c *checker) checks() []Check {
	var out []Check
	for _, name := range checkNames {
		out = append(out, *c.counts[name])
	}
	return out
}

// job checks everything that the callers of one job were told.
func (c *checker) checkJob(r *record) {
	c.checkSubmission(r, &r.first)
	c.checkSubmission(r, &r.second)
	c.checkResubmission(r)
	c.checkCancellation(r)
}

// submission checks one answer by itself. The client takes an answer that isn't
// whole for a lost one; here it counts as what it is.
func (c *checker) checkSubmission(r *record, p *reply) {
	if !p.made {
		return
	}
	c.expect(CheckReadable, r.id, !unreadable(p), "%v", p.failure)
	a := &p.answer
	answered := p.failure == nil || a.ID != "" || a.Results != nil || a.Outcome != 0
	if !answered {
		return
	}
	whole := state.Outcome(a.Outcome) == state.Complete && len(a.Results) == len(r.tasks)
	c.expect(CheckWhole, r.id, whole, "%s with %d results for %d tasks", state.Outcome(a.Outcome), len(a.Results), len(r.tasks))
	c.expect(CheckOwn, r.id, a.ID == r.id, "the answer belongs to %q", a.ID)
	for i, result := range a.Results {
		var echo string
		err := json.Unmarshal(result, &echo)
		c.expect(CheckOwn, r.id, err == nil && echo == r.echo(i), "result %d is %.80s", i, result)
	}
}

// unreadable tells a reply that arrived and makes no sense from one that broke
// off on the way, which is no fault of the entry's.
func unreadable(p *reply) bool {
	if p.failure == nil || p.failure.Err == nil {
		return false
	}
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	return errors.As(p.failure.Err, &syntaxErr) || errors.As(p.failure.Err, &typeErr)
}

// pair checks the answers to two submissions under one id against each other.
// A reply of unknown outcome agrees with any other.
func (c *checker) checkResubmission(r *record) {
	if !r.first.made || !r.second.made {
		return
	}
	a, b := r.first.outcome(), r.second.outcome()
	if a == state.Unknown || b == state.Unknown {
		return
	}
	if (a == state.NotRun) != (b == state.NotRun) {
		c.expect(CheckNotRun, r.id, r.resubmittedAfterNotRun(), "one caller is told %s, the other %s", r.first.describe(), r.second.describe())
		return
	}
	c.expect(CheckNotRun, r.id, true, "")
	same := a == b && sameResults(r.first.answer.Results, r.second.answer.Results)
	c.expect(CheckSame, r.id, same, "one caller is told %s, the other %s", r.first.describe(), r.second.describe())
}

// anew says that the second submission was sent after the first one was known
// to have not run. It may run then: the refusal spoke of the first one.
func (r *record) resubmittedAfterNotRun() bool {
	return r.second.made && r.first.outcome() == state.NotRun && r.second.sent >= r.first.done
}

// settled is what holds of the id in the end.
func (r *record) settledOutcome() state.Outcome {
	if r.resubmittedAfterNotRun() {
		return r.second.outcome()
	}
	return r.first.outcome()
}

func sameResults(a, b []json.RawMessage) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// cancellation checks that a job which is cancelled for one caller isn't
// complete for the other.
func (c *checker) checkCancellation(r *record) {
	if !r.cancellation.made || !r.first.made {
		return
	}
	both := cancelled(&r.cancellation) && r.first.complete()
	c.expect(CheckCancel, r.id, !both, "cancelled as %s, and the answer is complete", state.Outcome(r.cancellation.answer.Outcome))
}

func cancelled(p *reply) bool {
	return p.made && p.failure == nil && p.answer.Reason == state.ReasonCancelled
}

// told is the outcome with its reason and when it came.
func (r *reply) describe() string {
	text := r.outcome().String()
	if reason := r.reason(); reason != "" {
		text += " (" + string(reason) + ")"
	}
	return fmt.Sprintf("%s at %.1f ms, sent at %.1f ms", text, milliseconds(r.done), milliseconds(r.sent))
}

// The reasons of failures that are the client's own.
const (
	reasonNotSent    state.Reason = "client_not_sent"
	reasonLost       state.Reason = "client_lost"
	reasonUnanswered state.Reason = "client_patience"
)

// reason is why the call brought no complete answer; empty when it did.
func (r *reply) reason() state.Reason {
	f := r.failure
	switch {
	case f == nil:
		return r.answer.Reason
	case f.Problem != nil:
		return f.Problem.Reason
	case f.Err != nil && isTimeout(f.Err):
		return reasonUnanswered
	case f.NotSent:
		return reasonNotSent
	}
	return reasonLost
}

func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}
