package loadgen

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// columnGap is the space between columns.
const columnGap = 2

// Print writes the report for a person.
func (r *Report) Print(out io.Writer) {
	c := &r.Config
	fmt.Fprintf(out, "%s: mix %s, tasks per job %s, seed %d, %v of arrivals, answers after %v\n",
		c.Service, c.Mix.text(), c.Sizes.text, c.Seed, c.Length.D(), r.Elapsed.D().Round(roundTo))
	fmt.Fprintf(out, "%d agents, %d slots; %d jobs with %d tasks offered, %.1f%% of the slots\n",
		r.Agents, r.Slots, r.Jobs, r.Tasks, percent*r.Load)
	for _, o := range r.Outcomes {
		fmt.Fprintf(out, "  %d %s %s\n", o.Jobs, o.Outcome, o.Reason)
	}
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "complete jobs\tmean\tp50\tp90\tp99\tmax\t")
	for _, line := range r.distributions() {
		f := line.figures
		fmt.Fprintf(w, "%s\t%.*f\t%.*f\t%.*f\t%.*f\t%.*f\t\n", line.name,
			line.digits, f.Mean, line.digits, f.P50, line.digits, f.P90, line.digits, f.P99, line.digits, f.Max)
	}
	w.Flush()
	m := &r.Messages
	fmt.Fprintf(out, "%d starts: %.3f messages and %.3f wasted per start\n", m.Starts, m.PerStart, m.WastedPerStart)
	fmt.Fprintf(out, "resubmitted %d (%d before the first answer), compared %d; cancelled %d of %d, %d too late, %d failed\n",
		r.Resubmissions.Sent, r.Resubmissions.During, r.Resubmissions.Compared,
		r.Cancellations.Cancelled, r.Cancellations.Sent, r.Cancellations.TooLate, r.Cancellations.Failed)
	r.printChecks(out)
	fmt.Fprintln(out, r.Note)
}

// line is one distribution of a report.
type line struct {
	name    string
	digits  int
	figures Figures
}

func (r *Report) distributions() []line {
	return []line{
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
		word := "passed"
		switch {
		case c.Failed > 0:
			word = "FAILED"
		case c.Made == 0:
			word = "not run"
		}
		fmt.Fprintf(out, "check %-8s %-7s %d made, %d failed\n", c.Name, word, c.Made, c.Failed)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(out, "  %s: job %s: %s\n", v.Check, v.Job, v.Detail)
	}
}
