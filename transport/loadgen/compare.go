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

// Difference is the value of one metric in two reports.
type Difference struct {
	Name   string  `json:"name"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Change returns the change in percent of Before. It returns false if Before is
// zero.
func (d Difference) Change() (float64, bool) {
	if d.Before == 0 {
		return 0, false
	}
	return percent * (d.After - d.Before) / d.Before, true
}

// Comparison is the result of comparing two reports.
type Comparison struct {
	// Mismatches lists the differences between the configurations and systems
	// of the two reports. If there are any, the metrics are not comparable.
	Mismatches  []string     `json:"unlike"`
	Differences []Difference `json:"differences"`
	// Passed is true if both measurements passed.
	Passed bool `json:"passed"`
}

// Compare compares two measurements load by load, in the order of their loads.
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

// stepsText returns a text that is equal for two plans if their steps are equal.
func stepsText(m *Measurement) string { return fmt.Sprintf("%+v", m.Plan.Steps) }

// add compares one load. If named is true, the names of its metrics begin with
// its service.
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

// configMismatches lists the settings and system sizes in which two reports
// differ, each with both values.
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
	addIfDifferent("load", b.LoadShare, a.LoadShare)
	addIfDifferent("length", b.Length.D(), a.Length.D())
	addIfDifferent("deadline", b.Deadline.D(), a.Deadline.D())
	addIfDifferent("phases", fmt.Sprint(b.Phases), fmt.Sprint(a.Phases))
	addIfDifferent("seed", b.Seed, a.Seed)
	addIfDifferent("resubmit share", b.ResubmitShare, a.ResubmitShare)
	addIfDifferent("cancel share", b.CancelShare, a.CancelShare)
	addIfDifferent("agents", before.Agents, after.Agents)
	addIfDifferent("slots", before.Slots, after.Slots)
	return out
}

// Print writes the comparison as text.
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
