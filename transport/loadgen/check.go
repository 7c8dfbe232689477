package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// CheckName identifies a check on answers.
type CheckName string

// The checks on answers.
const (
	// CheckReadable verifies that each reply that arrived is a JSON document.
	CheckReadable CheckName = "readable"
	// CheckWhole verifies that each answer with status 200 is complete and has
	// one result for each task.
	CheckWhole CheckName = "whole"
	// CheckOwn verifies that an answer and each of its results belong to the
	// request.
	CheckOwn CheckName = "own"
	// CheckSame verifies that two submissions with the same id get the same
	// outcome and results.
	CheckSame CheckName = "same"
	// CheckNotRun verifies that no job is "not run" by one answer and has run
	// by the other, unless the submission that ran was sent after the "not run"
	// had been received.
	CheckNotRun CheckName = "not_run"
	// CheckCancel verifies that no job is both cancelled and complete.
	CheckCancel CheckName = "cancel"
)

var checkNames = []CheckName{CheckReadable, CheckWhole, CheckOwn, CheckSame, CheckNotRun, CheckCancel}

// maxViolations is the maximum number of violations that a report lists. The
// counts in Check include the others.
const maxViolations = 20

// Check is the number of times that a check was made and that it failed.
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

// checker checks the answers to one load and counts the results.
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

// expect counts one check. If holds is false, it also counts a failure and adds
// a violation with the formatted detail.
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

// checkJob makes all checks on the answers about one job.
func (c *checker) checkJob(r *record) {
	c.checkSubmission(r, &r.first)
	c.checkSubmission(r, &r.second)
	c.checkResubmission(r)
	c.checkCancellation(r)
}

// checkSubmission checks one answer on its own. The client reports an incomplete
// answer as a failure; if such an answer has content, it is checked all the same,
// so that it counts as a fault of the entry and not as a lost reply.
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

// unreadable reports whether a reply arrived but is not a valid JSON document. It
// is false if the connection failed, which is not a fault of the entry.
func unreadable(p *reply) bool {
	if p.failure == nil || p.failure.Err == nil {
		return false
	}
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	return errors.As(p.failure.Err, &syntaxErr) || errors.As(p.failure.Err, &typeErr)
}

// checkResubmission compares the answers to two submissions with the same id. An
// unknown outcome is consistent with any other.
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

// resubmittedAfterNotRun reports whether the second submission was sent after the
// first had been answered with "not run". The job may run then, because that
// answer covers only the first submission.
func (r *record) resubmittedAfterNotRun() bool {
	return r.second.made && r.first.outcome() == state.NotRun && r.second.sent >= r.first.done
}

// settledOutcome returns the final outcome of the job's id: that of the second
// submission if it was sent after the first had not run, else that of the first.
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

// checkCancellation checks that a job that was cancelled by one call is not
// complete in the answer to the first submission.
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

// describe returns the outcome, its reason and the times of the call for the
// detail of a violation.
func (r *reply) describe() string {
	text := r.outcome().String()
	if reason := r.reason(); reason != "" {
		text += " (" + string(reason) + ")"
	}
	return fmt.Sprintf("%s at %.1f ms, sent at %.1f ms", text, milliseconds(r.done), milliseconds(r.sent))
}

// The reasons of failures that the client detects without an answer.
const (
	// reasonNotSent means that the call was not made or did not leave the client.
	reasonNotSent state.Reason = "client_not_sent"
	// reasonLost means that the call was sent and the answer was lost.
	reasonLost state.Reason = "client_lost"
	// reasonUnanswered means that there was no answer before the run ended.
	reasonUnanswered state.Reason = "client_patience"
)

// reason returns why the call got no complete answer, or an empty reason if it
// got one.
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
