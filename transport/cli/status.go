package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// columnGap is the space between columns.
const columnGap = 2

func runStatus(ctx context.Context, v *invocation) int {
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	s, f := c.Status(ctx)
	if f != nil {
		return v.failed(f)
	}
	return v.print(s, func() { v.printStatus(s) })
}

func (v *invocation) printStatus(s api.Status) {
	v.printf("%s (%s, %s): ready %t, draining %t, epoch %d\n", s.Node, s.Role, s.Software, s.Ready, s.Draining, s.Epoch)
	v.printf("log: reachable %t\n", s.Log.Reachable)
	for _, t := range s.Log.Streams {
		v.printf("  %s: next offset %d, last read %d ms ago\n", t.Stream, t.Next, t.SilentMS)
	}
	w := tabwriter.NewWriter(v.Stdout, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(w, "roster: %d\n", len(s.Roster))
	for _, m := range s.Roster {
		fmt.Fprintf(w, "  %s\t%s\t%s/%s/%s\n", m.ID, m.Addr, m.Region, m.Domain, m.Rack)
	}
	fmt.Fprintf(w, "agents: %d\n", len(s.Agents))
	for _, a := range s.Agents {
		fmt.Fprintf(w, "  %s\tslots %d\tfree %d\tqueued %d\t%s\t%s\t%d ms old\n",
			a.ID, a.Slots, a.Free, a.Queued, strings.Join(a.Services, ","), condition(a), a.AgeMS)
	}
	fmt.Fprintf(w, "declarations: %d\n", len(s.Declarations))
	for _, d := range s.Declarations {
		fmt.Fprintf(w, "  %s\tversion %d\t%s\n", d.Operator, d.Version, strings.Join(d.Services, ","))
	}
	printReaders(w, s.Readers)
	w.Flush()
}

// printReaders lists the processes that need looking at. A fleet has a thousand.
func printReaders(w io.Writer, readers []api.Reader) {
	counts := make(map[string]int)
	lag := int64(0)
	for _, r := range readers {
		counts[reading(r)]++
		if reading(r) == inTime {
			lag = max(lag, r.LagMS)
		}
	}
	fmt.Fprintf(w, "readers of the declarations: %d in time (by %d ms), %d late, %d incomplete, %d not heard of\n",
		counts[inTime], lag, counts[late], counts[incomplete], counts[notHeardOf])
	for _, r := range readers {
		if reading(r) != inTime {
			fmt.Fprintf(w, "  %s\t%s\t%s\tversion %d\tlag %d ms\tbehind %d\t%d ms old\n",
				r.ID, r.Role, reading(r), r.Version, r.LagMS, r.Behind, r.AgeMS)
		}
	}
}

// What is said of a reader.
const (
	inTime     = "in time"
	late       = "late"
	incomplete = "incomplete"
	notHeardOf = "not heard of"
)

func reading(r api.Reader) string {
	switch {
	case !r.Heard:
		return notHeardOf
	case r.Late:
		return late
	case !r.Complete:
		return incomplete
	}
	return inTime
}

func condition(a api.Agent) string {
	switch {
	case a.Draining:
		return "draining"
	case a.Ejected:
		return "ejected"
	}
	return "serving"
}

func runDrain(ctx context.Context, v *invocation) int {
	if p := api.CheckNode(v.args[0]); p != nil {
		return v.usageError("%s", p.Detail)
	}
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	d, f := c.Drain(ctx, state.NodeID(v.args[0]))
	if f != nil {
		return v.failed(f)
	}
	return v.print(d, func() { v.printf("%s is draining\n", d.Node) })
}

func runVersion(_ context.Context, v *invocation) int {
	return v.print(versionDoc{Version: v.Version}, func() { v.printf("shallotstep %s\n", v.Version) })
}

type versionDoc struct {
	Version string `json:"version"`
}
