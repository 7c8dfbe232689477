package cli

import (
	"context"
	"time"
)

func drainFlags(v *invocation) {
	v.flags.BoolVar(&v.showHistory, "history", false, "list the drains of the failure domain instead")
}

func runDrain(ctx context.Context, v *invocation) int {
	switch {
	case len(v.args) == 0 && v.showHistory:
		return v.usageError("-history needs a failure domain")
	case len(v.args) == 0:
		return v.listDrains(ctx)
	case v.showHistory:
		return v.drainHistory(ctx, v.args[0])
	}
	return v.setDrain(ctx, v.args[0], true)
}

func runUndrain(ctx context.Context, v *invocation) int { return v.setDrain(ctx, v.args[0], false) }

func (v *invocation) setDrain(ctx context.Context, domain string, drained bool) int {
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	set, f := c.SetDrain(ctx, domain, drained)
	if f != nil {
		return v.reportFailure(f)
	}
	return v.print(set, func() { v.printf("%s is %s (version %d)\n", set.Domain, drainState(set.Drained), set.Version) })
}

func drainState(drained bool) string {
	if drained {
		return "drained"
	}
	return "in use"
}

func (v *invocation) listDrains(ctx context.Context) int {
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	list, f := c.Drains(ctx)
	if f != nil {
		return v.reportFailure(f)
	}
	return v.print(list, func() {
		for _, d := range list.Domains {
			v.printf("%s\t%s\t%d agents\n", d.Domain, drainState(d.Drained), d.Agents)
		}
	})
}

func (v *invocation) drainHistory(ctx context.Context, domain string) int {
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	h, f := c.DrainHistory(ctx, domain)
	if f != nil {
		return v.reportFailure(f)
	}
	return v.print(h, func() {
		for _, e := range h.Entries {
			v.printf("%d\t%s\t%s\t%s\n", e.Version, drainState(e.Drained), e.At.Format(time.RFC3339), e.By)
		}
	})
}
