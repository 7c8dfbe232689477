package cli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/shallotstep/shallotstep/protocol/api"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

func runStatus(ctx context.Context, v *invocation) int {
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	s, f := c.Status(ctx)
	if f != nil {
		return v.reportFailure(f)
	}
	return v.print(s, func() { v.printStatus(s) })
}

func (v *invocation) printStatus(s api.Status) {
	v.printf("%s (%s): ready %t\n", s.Node, s.Software, s.Ready)
	if len(s.DrainedDomains) > 0 {
		v.printf("drained failure domains: %s\n", strings.Join(s.DrainedDomains, ", "))
	}
	w := tabwriter.NewWriter(v.Stdout, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(w, "agents: %d\n", len(s.Agents))
	for _, a := range s.Agents {
		fmt.Fprintf(w, "  %s\t%s\t%s\t%.1f of %.1f cores free\t%d ms waiting\t%s\t%d ms old%s\n",
			a.Name, a.Domain, a.Service, a.FreeCores, a.Cores, a.WaitingMS, agentState(a), a.AgeMS, agentSpeed(a))
	}
	fmt.Fprintf(w, "declarations: %d\n", len(s.Declarations))
	for _, d := range s.Declarations {
		fmt.Fprintf(w, "  %s\tversion %d\t%s\n", d.Operator, d.Version, strings.Join(d.Services, ","))
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintf(v.Stderr, "shallotstep: %v\n", err)
	}
}

func agentState(a api.Agent) string {
	switch {
	case a.Drained:
		return "drained"
	case a.Accepts:
		return "serving"
	}
	return "takes no work"
}

// agentSpeed returns a further column for an agent whose server's speed is considered.
func agentSpeed(a api.Agent) string {
	if a.Speed == 0 {
		return ""
	}
	return fmt.Sprintf("\tspeed %.2f", a.Speed)
}

func runVersion(_ context.Context, v *invocation) int {
	return v.print(versionDoc{Version: v.Version}, func() { v.printf("shallotstep %s\n", v.Version) })
}

type versionDoc struct {
	Version string `json:"version"`
}
