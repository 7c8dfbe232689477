package cli

import (
	"context"
	"strings"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

func confirmFlags(v *invocation) {
	v.flags.BoolVar(&v.acceptRerun, "accept-rerun", false,
		"open their shares at once, though jobs that only they knew of may then run a second time")
}

func runConfirmLost(ctx context.Context, v *invocation) int {
	word := api.ConfirmLost{AcceptRerun: v.acceptRerun}
	for _, name := range v.args {
		// The record of a bare name would be taken, and open nothing.
		if p := api.CheckIncarnation(name); p != nil {
			return v.usageError("%s", p.Detail)
		}
		word.Nodes = append(word.Nodes, state.NodeID(name))
	}
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	d, f := c.ConfirmLost(ctx, word)
	if f != nil {
		return v.failed(f)
	}
	return v.print(d, func() {
		v.printf("confirmed lost at offset %d of the roster: %s\n", d.Version, strings.Join(v.args, " "))
	})
}
