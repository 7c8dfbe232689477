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

// Waits between tries.
const (
	// settleInterval is how often a lost apply is looked up. News of an
	// accepted declaration takes seconds at most.
	applyPollInterval = 500 * time.Millisecond
	// firstBackoff doubles with each resubmission up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// ApplySettled sends a declaration once and, where its fate is unknown, reads
// until it is known or ctx ends. It never sends the declaration again: a second
// append behind another operator's change could take that change back.
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

// fate is what reading tells of a declaration whose reply was lost.
type raceResult uint8

const (
	raceOpen       raceResult = iota // nothing has replaced the base yet
	raceWon                          // it replaced the base, or is in force
	raceLost                         // another one replaced the base
	raceUnresolved                   // the base was replaced, but no longer by whom
)

type raceState struct {
	result  raceResult
	version state.Version
}

// lookUp reads what replaced base. In log order only one declaration can, so
// that finding it settles the matter.
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

// SubmitSettled submits until there is an answer, the entry refuses for good,
// the tries are used up or ctx ends. Every try carries the same id, so that it
// joins what an earlier one may have started.
func (c *Client) SubmitWithRetry(ctx context.Context, s api.Submission, maxAttempts int) (api.Answer, *Failure) {
	return c.retry(ctx, maxAttempts, func() (api.Answer, *Failure) { return c.Submit(ctx, s) })
}

// AcceptSettled is SubmitSettled for a caller that doesn't wait for the results.
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

// doubtful takes back a "not run" when the fate of an earlier try is open. That
// try may still sit in a slow entry and be granted after this one was refused,
// so the caller would take a job for dead that runs a moment later.
func keepUnknown(f *Failure, unknown bool) *Failure {
	if unknown && (f.Outcome == state.NotRun || f.NotSent) {
		f.Outcome = state.Unknown
		f.NotSent = false
	}
	return f
}

// worthRetry says whether the same submission may fare better: after a lost
// reply, or where the entry says when to come back. A failed job stays failed.
func retryable(f *Failure) bool {
	if f.Problem == nil {
		return true
	}
	return f.Outcome != state.Failed && f.RetryAfter() > 0
}
