package loadgen

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// Print writes the measurement as text.
func (m *Measurement) Print(out io.Writer) {
	if m.Plan.Name != "" {
		fmt.Fprintf(out, "plan %s, %v in all\n", m.Plan.Name, m.Elapsed.D().Round(displayRounding))
	}
	for _, r := range m.Loads {
		r.print(out)
	}
	for _, s := range m.Steps {
		status, detail := "done", s.Detail
		if s.Failure != "" {
			status, detail = "FAILED", s.Failure
		}
		fmt.Fprintf(out, "step at %v %s: %s\n", s.Step.At.D(), status, detail)
	}
	m.Starts.print(out)
	fmt.Fprintln(out, m.Note)
}

func (s *Starts) print(out io.Writer) {
	switch {
	case s.Failure != "":
		fmt.Fprintf(out, "starts NOT COUNTED: %s\n", s.Failure)
	case !s.Counted:
		fmt.Fprintln(out, "starts not run: no backend servers are named")
	default:
		fmt.Fprintf(out, "%d starts at the backend servers %v: %d doubled, %d lost, %d started though not run\n",
			s.Tasks, s.Backends, s.Doubled, s.Lost, s.NotRun)
	}
	for _, discrepancy := range s.Discrepancies {
		fmt.Fprintf(out, "  %s\n", discrepancy)
	}
}

func (r *Report) print(out io.Writer) {
	c := &r.Config
	fmt.Fprintf(out, "%s: mix %s, tasks per job %s, seed %d, %v of arrivals, answers after %v\n",
		c.Service, c.Mix.text(), c.Sizes.text, c.Seed, c.Length.D(), r.Elapsed.D().Round(displayRounding))
	fmt.Fprintf(out, "%d agents, %d slots, %d free; %d jobs with %d tasks offered, %.1f%% of the slots; round trip %.2f ms\n",
		r.Agents, r.Slots, r.FreeSlots, r.Jobs, r.Tasks, percent*r.Load, milliseconds(r.RoundTrip.D()))
	for _, o := range r.Outcomes {
		fmt.Fprintf(out, "  %d %s %s\n", o.Jobs, o.Outcome, o.Reason)
	}
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "complete jobs\tmean\tp50\tp90\tp95\tp99\tmax\t")
	for _, line := range r.distributions() {
		f := line.summary
		fmt.Fprintf(w, "%s\t%.*f\t%.*f\t%.*f\t%.*f\t%.*f\t%.*f\t\n", line.name,
			line.decimals, f.Mean, line.decimals, f.P50, line.decimals, f.P90, line.decimals, f.P95, line.decimals, f.P99, line.decimals, f.Max)
	}
	w.Flush()
	fmt.Fprintf(out, "%d tasks of complete jobs, %.1f a second\n", r.CompleteTasks, r.StartsPerSecond)
	fmt.Fprintf(out, "resubmitted %d (%d before the first answer), compared %d; cancelled %d of %d, %d too late, %d failed\n",
		r.Resubmissions.Sent, r.Resubmissions.During, r.Resubmissions.Compared,
		r.Cancellations.Cancelled, r.Cancellations.Sent, r.Cancellations.TooLate, r.Cancellations.Failed)
	r.printChecks(out)
}

// distribution is one row of the table of response times. decimals is the number of
// digits after the decimal point.
type distribution struct {
	name     string
	decimals int
	summary  Summary
}

func (r *Report) distributions() []distribution {
	return []distribution{
		{"response ms", 1, r.Response},
		{"ideal ms", 1, r.Ideal},
		{"response over ideal", 3, r.Ratio},
		{"response over packed", 3, r.OverPacked},
		{"lost to packed ms", 1, r.LostToPacked},
		{"sent late ms", 1, r.SendLag},
	}
}

func (r *Report) printChecks(out io.Writer) {
	for _, c := range r.Checks {
		status := "passed"
		switch {
		case c.Failed > 0:
			status = "FAILED"
		case c.Made == 0:
			status = "not run"
		}
		fmt.Fprintf(out, "check %-8s %-7s %d made, %d failed\n", c.Name, status, c.Made, c.Failed)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(out, "  %s: job %s: %s\n", v.Check, v.Job, v.Detail)
	}
}
