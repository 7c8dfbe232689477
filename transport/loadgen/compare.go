package loadgen

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const (
	percent         = 100
	displayRounding = 10 * time.Millisecond
)

// Difference is one figure of two reports.
type Difference struct {
	Name   string  `json:"name"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Change returns the change in percent of Before, and whether there is any
// Before to compare with.
func (d Difference) Change() (float64, bool) {
	if d.Before == 0 {
		return 0, false
	}
	return percent * (d.After - d.Before) / d.Before, true
}

// Comparison sets two reports side by side.
type Comparison struct {
	// Unlike names what makes the two loads different. Where there is
	// anything, the figures don't compare like with like.
	Mismatches  []string     `json:"unlike"`
	Differences []Difference `json:"differences"`
	// Passed says that no check failed in either report.
	Passed bool `json:"passed"`
}

// Compare sets two measurements side by side, load by load.
func Compare(before, after *Measurement) Comparison {
	c := Comparison{Mismatches: []string{}, Passed: before.Passed && after.Passed}
	if len(before.Loads) != len(after.Loads) {
		c.Mismatches = append(c.Mismatches, fmt.Sprintf("loads: %d, %d", len(before.Loads), len(after.Loads)))
	}
	if b, a := stepsText(before), stepsText(after); b != a {
		c.Mismatches = append(c.Mismatches, fmt.Sprintf("steps: %s, %s", b, a))
	}
	for i := range min(len(before.Loads), len(after.Loads)) {
		c.add(before.Loads[i], after.Loads[i], len(before.Loads) > 1)
	}
	return c
}

// stepsText tells two plans' steps apart.
func stepsText(m *Measurement) string { return fmt.Sprintf("%+v", m.Plan.Steps) }

// add compares one load; named says that its figures need its service's name.
func (c *Comparison) add(before, after *Report, named bool) {
	c.Mismatches = append(c.Mismatches, configMismatches(before, after)...)
	add := func(name string, b, a float64) {
		if named {
			name = before.Config.Service + " " + name
		}
		c.Differences = append(c.Differences, Difference{name, b, a})
	}
	add("complete jobs", float64(before.Response.Count), float64(after.Response.Count))
	afterLines := after.distributions()
	for i, b := range before.distributions() {
		a := afterLines[i]
		add(b.name+" p50", b.summary.P50, a.summary.P50)
		add(b.name+" p90", b.summary.P90, a.summary.P90)
		add(b.name+" p95", b.summary.P95, a.summary.P95)
		add(b.name+" p99", b.summary.P99, a.summary.P99)
		add(b.name+" max", b.summary.Max, a.summary.Max)
	}
	add("starts per second", before.StartsPerSecond, after.StartsPerSecond)
}

func configMismatches(before, after *Report) []string {
	out := []string{}
	addIfDifferent := func(name string, b, a any) {
		if b != a {
			out = append(out, fmt.Sprintf("%s: %v, %v", name, b, a))
		}
	}
	b, a := &before.Config, &after.Config
	addIfDifferent("service", b.Service, a.Service)
	addIfDifferent("mix", b.Mix.text(), a.Mix.text())
	addIfDifferent("tasks per job", b.Sizes.text, a.Sizes.text)
	addIfDifferent("job rate", b.jobRate(), a.jobRate())
	addIfDifferent("load", b.Load, a.Load)
	addIfDifferent("length", b.Length.D(), a.Length.D())
	addIfDifferent("deadline", b.Deadline.D(), a.Deadline.D())
	addIfDifferent("phases", fmt.Sprint(b.Phases), fmt.Sprint(a.Phases))
	addIfDifferent("seed", b.Seed, a.Seed)
	addIfDifferent("resubmit share", b.Resubmit, a.Resubmit)
	addIfDifferent("cancel share", b.Cancel, a.Cancel)
	addIfDifferent("agents", before.Agents, after.Agents)
	addIfDifferent("slots", before.Slots, after.Slots)
	return out
}

// Print writes the comparison for a person.
func (c *Comparison) Print(out io.Writer) {
	for _, mismatch := range c.Mismatches {
		fmt.Fprintf(out, "not alike: %s\n", mismatch)
	}
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tbefore\tafter\tchange\t")
	for _, d := range c.Differences {
		change := "-"
		if percentChange, ok := d.Change(); ok {
			change = fmt.Sprintf("%+.1f%%", percentChange)
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%s\t\n", d.Name, d.Before, d.After, change)
	}
	w.Flush()
	if !c.Passed {
		fmt.Fprintln(out, "a check failed in one of the reports")
	}
}
