package cli

import (
	"context"
	"time"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpclient"
)

// currentBase asks for the version in force before applying.
const currentBase = -1

func applyFlags(v *invocation) {
	v.flags.Int64Var(&v.base, "base", currentBase, "the `version` that the file replaces, 0 for none; the one in force if not given")
}

func runApply(ctx context.Context, v *invocation) int {
	raw, operator, code := v.declaration(v.args[0])
	if code != ExitDone {
		return code
	}
	if v.base < currentBase {
		return v.usageError("-base must not be negative")
	}
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	base, f := v.baseVersion(ctx, c, operator)
	if f != nil {
		// Nothing has been sent yet but a question.
		f.Outcome = state.NotRun
		return v.reportFailure(f)
	}
	applied, f := c.ApplyAndConfirm(ctx, operator, base, raw)
	if f != nil {
		return v.reportFailure(f)
	}
	return v.print(applied, func() { v.printf("%s is at version %d\n", operator, applied.Version) })
}

func (v *invocation) baseVersion(ctx context.Context, c *httpclient.Client, operator string) (state.Version, *httpclient.Failure) {
	if v.base != currentBase {
		return state.Version(v.base), nil
	}
	d, f := c.Declaration(ctx, operator)
	if f != nil && f.Problem != nil && f.Problem.Reason == state.ReasonNoDeclaration {
		return 0, nil
	}
	return d.Version, f
}

func runShow(ctx context.Context, v *invocation) int {
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	d, f := c.Declaration(ctx, v.args[0])
	if f != nil {
		return v.reportFailure(f)
	}
	doc := shownDoc{Operator: v.args[0], Version: d.Version, File: string(d.Raw)}
	return v.print(doc, func() { v.Stdout.Write(d.Raw) })
}

// shown is a declaration as scripts read it. File is text, because it may hold
// comments.
type shownDoc struct {
	Operator string        `json:"operator"`
	Version  state.Version `json:"version"`
	File     string        `json:"file"`
}

func runHistory(ctx context.Context, v *invocation) int {
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	h, f := c.History(ctx, v.args[0])
	if f != nil {
		return v.reportFailure(f)
	}
	return v.print(h, func() {
		for _, e := range h.Entries {
			v.printf("%d\ton %d\t%s\t%s\n", e.Version, e.Base, e.At.Format(time.RFC3339), e.By)
		}
	})
}
