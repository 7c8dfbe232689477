package httpclient

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// Delays between attempts.
const (
	// applyPollInterval is the interval at which the result of an apply is polled after its
	// reply was lost. An accepted declaration is visible within seconds.
	applyPollInterval = 500 * time.Millisecond
	// minBackoff is the first delay; it doubles with each resubmission up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// ApplyAndConfirm sends a declaration once. If the outcome is unknown, it polls the history
// until the outcome is known or ctx ends. It never sends the declaration again, because a second
// append after another operator's change could undo that change.
func (c *Client) ApplyAndConfirm(ctx context.Context, operator string, base state.Version, raw []byte) (api.Applied, *Failure) {
	applied, f := c.Apply(ctx, operator, base, raw)
	if f == nil || f.Outcome != state.Unknown || f.NotSent {
		return applied, f
	}
	for {
		switch v := c.resolveApply(ctx, operator, base, raw); v.result {
		case raceWon:
			return api.Applied{Operator: operator, Version: v.version, Outcome: api.Outcome(state.Complete)}, nil
		case raceLost:
			return applied, lostRaceFailure(v.version)
		case raceUnresolved:
			return applied, f
		}
		if c.sleep(ctx, applyPollInterval) != nil {
			return applied, f
		}
	}
}

// raceResult is what the history shows about a declaration whose reply was lost.
type raceResult uint8

const (
	raceOpen       raceResult = iota // no declaration has replaced the base yet
	raceWon                          // the declaration replaced the base, or is in force
	raceLost                         // another declaration replaced the base
	raceUnresolved                   // the base was replaced, but the history no longer shows by which declaration
)

// raceState is a raceResult with the version that replaced the base, if one did.
type raceState struct {
	result  raceResult
	version state.Version
}

// resolveApply looks up which declaration replaced base. In the order of the log only one can
// replace it, so finding that one decides the outcome.
func (c *Client) resolveApply(ctx context.Context, operator string, base state.Version, raw []byte) raceState {
	h, f := c.History(ctx, operator)
	if f != nil {
		return raceState{}
	}
	next, found := successor(h.Entries, base)
	if found && next.Digest != "" {
		if next.Digest == digestOf(raw) {
			return raceState{raceWon, next.Version}
		}
		return raceState{raceLost, next.Version}
	}
	d, f := c.Declaration(ctx, operator)
	switch {
	case f != nil || d.Version <= base:
		return raceState{}
	case bytes.Equal(d.Raw, raw):
		return raceState{raceWon, d.Version}
	case found && next.Version == d.Version:
		return raceState{raceLost, d.Version}
	}
	return raceState{result: raceUnresolved}
}

// successor returns the declaration that replaced version base, if the history has it.
func successor(entries []api.HistoryEntry, base state.Version) (api.HistoryEntry, bool) {
	for _, e := range entries {
		if e.Base == base {
			return e, true
		}
	}
	return api.HistoryEntry{}, false
}

func digestOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

func lostRaceFailure(version state.Version) *Failure {
	p := api.NewProblem(state.ReasonLostRace, state.NotRun, "version %d replaced the base", version)
	p.Version = version
	return &Failure{Outcome: state.NotRun, Problem: p}
}

// SubmitWithRetry submits until there is an answer or a refusal that is not worth a retry, after
// maxAttempts attempts, or until ctx ends. Every attempt has the same id, so it joins the job
// that an earlier attempt may have started.
func (c *Client) SubmitWithRetry(ctx context.Context, s api.Submission, maxAttempts int) (api.Answer, *Failure) {
	return c.retry(ctx, maxAttempts, func() (api.Answer, *Failure) { return c.Submit(ctx, s) })
}

// AcceptWithRetry is like SubmitWithRetry, but only waits until the job is accepted.
func (c *Client) AcceptWithRetry(ctx context.Context, s api.Submission, maxAttempts int) (api.Answer, *Failure) {
	return c.retry(ctx, maxAttempts, func() (api.Answer, *Failure) { return c.Accept(ctx, s) })
}

func (c *Client) retry(ctx context.Context, maxAttempts int, send func() (api.Answer, *Failure)) (api.Answer, *Failure) {
	backoff := minBackoff
	unknown := false
	for attempt := 1; ; attempt++ {
		a, f := send()
		if f == nil {
			return a, nil
		}
		unknown = unknown || (f.Outcome == state.Unknown && !f.NotSent)
		if attempt >= maxAttempts || !retryable(f) || c.sleep(ctx, max(backoff, f.RetryAfter())) != nil {
			return a, keepUnknown(f, unknown)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// keepUnknown changes the outcome "not run" of the last attempt to unknown if the outcome of an
// earlier attempt is unknown. A slow entry may still accept the earlier attempt after this one
// was refused, and the caller would treat a job as not run that starts a moment later.
func keepUnknown(f *Failure, unknown bool) *Failure {
	if unknown && (f.Outcome == state.NotRun || f.NotSent) {
		f.Outcome = state.Unknown
		f.NotSent = false
	}
	return f
}

// retryable reports whether another attempt with the same submission may succeed: after a lost
// reply, or if the refusal has a retry-after time. A failed job stays failed.
func retryable(f *Failure) bool {
	if f.Problem == nil {
		return true
	}
	return f.Outcome != state.Failed && f.RetryAfter() > 0
}
