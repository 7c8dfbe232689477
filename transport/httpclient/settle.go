package httpclient

import (
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
	settleInterval = 500 * time.Millisecond
	// firstBackoff doubles with each resubmission up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// ApplySettled sends a declaration once and, where its fate is unknown, reads
// the history until it is known or ctx ends. It never sends the declaration
// again: a second append behind another operator's change could take that
// change back.
func (c *Client) ApplySettled(ctx context.Context, operator string, base state.Version, raw []byte) (api.Applied, *Failure) {
	applied, f := c.Apply(ctx, operator, base, raw)
	for f != nil && f.Outcome == state.Unknown && !f.NotSent {
		h, hf := c.History(ctx, operator)
		if hf == nil {
			verdict, settled := judge(h.Entries, base, raw)
			if settled {
				return verdict.answer(operator)
			}
		}
		if c.sleep(ctx, settleInterval) != nil {
			break
		}
	}
	return applied, f
}

// fate is what became of a declaration.
type fate struct {
	version state.Version
	won     bool
}

// judge looks in the history for the declaration that replaced base. In log
// order only one can, so that finding any settles the matter.
func judge(entries []api.HistoryEntry, base state.Version, raw []byte) (fate, bool) {
	sum := sha256.Sum256(raw)
	digest := hex.EncodeToString(sum[:])
	for _, e := range entries {
		if e.Base == base && e.Version > base {
			return fate{version: e.Version, won: e.Digest == digest}, true
		}
	}
	return fate{}, false
}

func (v fate) answer(operator string) (api.Applied, *Failure) {
	if v.won {
		return api.Applied{Operator: operator, Version: v.version, Outcome: api.Outcome(state.Complete)}, nil
	}
	p := api.NewProblem(state.ReasonLostRace, state.NotRun, "version %d replaced the base", v.version)
	p.Version = v.version
	return api.Applied{}, &Failure{Outcome: state.NotRun, Problem: p}
}

// SubmitSettled submits until there is an answer, the entry refuses for good,
// the tries are used up or ctx ends. Every try carries the same id, so that it
// joins what an earlier one may have started.
func (c *Client) SubmitSettled(ctx context.Context, s api.Submission, tries int) (api.Answer, *Failure) {
	backoff := firstBackoff
	doubt := false
	for try := 1; ; try++ {
		a, f := c.Submit(ctx, s)
		if f == nil {
			return a, nil
		}
		doubt = doubt || (f.Outcome == state.Unknown && !f.NotSent)
		if try >= tries || !worthRetry(f) || c.sleep(ctx, max(backoff, f.RetryAfter())) != nil {
			return a, doubtful(f, doubt)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// doubtful takes back a "not run" when the fate of an earlier try is open. That
// try may still sit in a slow entry and be granted after this one was refused,
// so the caller would take a job for dead that runs a moment later.
func doubtful(f *Failure, doubt bool) *Failure {
	if doubt && (f.Outcome == state.NotRun || f.NotSent) {
		f.Outcome = state.Unknown
		f.NotSent = false
	}
	return f
}

// worthRetry says whether the same submission may fare better: after a lost
// reply, or where the entry says when to come back. A failed job stays failed.
func worthRetry(f *Failure) bool {
	if f.Problem == nil {
		return true
	}
	return f.Outcome != state.Failed && f.RetryAfter() > 0
}
