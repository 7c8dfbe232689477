package cli

import (
	"context"
	"time"
)

// restoreTimeout is the default of restore-declarations. It is longer than an
// entry takes for a restore at most.
const restoreTimeout = 6 * time.Minute

func restoreFlags(v *invocation) {
	v.flags.Lookup("timeout").DefValue = restoreTimeout.String()
	v.timeout = restoreTimeout
}

func runRestoreDeclarations(ctx context.Context, v *invocation) int {
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	d, f := c.RestoreDeclarations(ctx)
	if f != nil {
		return v.failed(f)
	}
	return v.print(d, func() { v.printf("the declarations are restored as of offset %d\n", d.Version) })
}
