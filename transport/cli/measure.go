package cli

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	"github.com/rs/xid"

	"github.com/shallotstep/shallotstep/transport/loadgen"
)

// measureOptions are the flags of the command measure.
type measureOptions struct {
	plan     string
	seed     uint64
	backends string
	report   string
	plot     string
	compare  bool
	loadPlot string
}

// measureTimeout holds the longest run and its patience.
const measureTimeout = loadgen.MaxLength + loadgen.MaxPatience + loadgen.DefaultPatience

func measureFlags(v *invocation) {
	o := &v.measure
	f := v.flags
	f.StringVar(&o.plan, "plan", "", "the plan's `file`")
	f.Uint64Var(&o.seed, "seed", 0, "decides arrivals, sizes and work in place of the plan's seed; 0 leaves that")
	f.StringVar(&o.backends, "backends", "", "the stand-in backend servers' `URLs` in place of the plan's, separated by commas")
	f.StringVar(&o.report, "report", "", "write the report as JSON to this `file`")
	f.StringVar(&o.plot, "plot", "", "write the plots of the run to this `file`, .svg or .png")
	f.BoolVar(&o.compare, "compare", false, "compare two report files instead of measuring")
	f.StringVar(&o.loadPlot, "load-plot", "", "draw response against load from report files into this `file`, instead of measuring")
	// The common limit on how long to try is shorter than a run.
	f.Lookup("timeout").DefValue = measureTimeout.String()
	v.timeout = measureTimeout
	f.Lookup("target").Usage = "the entries' `addresses`, separated by commas; each host:port or URL"
}

// runMeasure exits with ExitRefused when a check fails.
func runMeasure(ctx context.Context, v *invocation) int {
	o := &v.measure
	switch {
	case o.compare:
		return v.compareReports()
	case o.loadPlot != "":
		return v.plotLoads()
	case len(v.args) > 0:
		return v.usageError("measure takes files with -compare and -load-plot only")
	case o.plan == "":
		return v.usageError("measure needs -plan")
	}
	plan, code := v.readPlan()
	if code != ExitDone {
		return code
	}
	target, code := v.target(plan)
	if code != ExitDone {
		return code
	}
	m, err := loadgen.Measure(ctx, plan, target)
	if err != nil {
		fmt.Fprintf(v.Stderr, "shallotstep: %v\n", err)
		return ExitRefused
	}
	code = v.print(m, func() { m.Print(v.Stdout) })
	if !v.saveReport(m) || !m.Passed {
		return ExitRefused
	}
	return code
}

// readPlan reads the plan and puts in what the flags say.
func (v *invocation) readPlan() (*loadgen.Plan, int) {
	o := &v.measure
	src, code := v.readFile(o.plan)
	if code != ExitDone {
		return nil, code
	}
	plan, err := loadgen.ParsePlan(o.plan, src)
	if err != nil {
		return nil, v.usageError("%v", err)
	}
	plan.SetRun("measure-" + xid.New().String())
	if o.seed != 0 {
		plan.SetSeed(o.seed)
	}
	if o.backends != "" {
		plan.Backends = strings.Split(o.backends, ",")
	}
	return plan, ExitDone
}

// target returns the clients that the plan needs. A load without a token file
// of its own uses the common one.
func (v *invocation) target(plan *loadgen.Plan) (loadgen.Target, int) {
	var t loadgen.Target
	addresses := strings.Split(v.addr, ",")
	common := v.tokenFile
	for i := range plan.Loads {
		if v.tokenFile = plan.Loads[i].TokenFile; v.tokenFile == "" {
			v.tokenFile = common
		}
		var entries []loadgen.Caller
		for _, v.addr = range addresses {
			c, code := v.connect()
			if code != ExitDone {
				return t, code
			}
			entries = append(entries, c)
		}
		t.Entries = append(t.Entries, entries)
	}
	v.addr, v.tokenFile = addresses[0], common
	token := ""
	if plan.BackendTokenFile != "" {
		raw, code := v.readFile(plan.BackendTokenFile)
		if code != ExitDone {
			return t, code
		}
		token = string(bytes.TrimSpace(raw))
	}
	for _, address := range plan.Backends {
		t.Backends = append(t.Backends, loadgen.NewHTTPBackend(address, token))
	}
	return t, ExitDone
}

func (v *invocation) saveReport(m *loadgen.Measurement) bool {
	ok := true
	save := func(path string, write func(string) error) {
		if path != "" && v.reportWriteError(write(path)) != ExitDone {
			ok = false
		}
	}
	save(v.measure.report, m.Write)
	save(v.measure.plot, m.Plot)
	return ok
}

// wrote reports a file that couldn't be written.
func (v *invocation) reportWriteError(err error) int {
	if err != nil {
		fmt.Fprintf(v.Stderr, "shallotstep: %v\n", err)
		return ExitRefused
	}
	return ExitDone
}

// readReports reads the reports that the arguments name.
func (v *invocation) readReports() ([]*loadgen.Measurement, int) {
	var out []*loadgen.Measurement
	for _, name := range v.args {
		m, err := loadgen.Read(name)
		if err != nil {
			return nil, v.usageError("%v", err)
		}
		out = append(out, m)
	}
	return out, ExitDone
}

func (v *invocation) compareReports() int {
	const reportCount = 2
	if len(v.args) != reportCount {
		return v.usageError("-compare takes two report files")
	}
	reports, code := v.readReports()
	if code != ExitDone {
		return code
	}
	c := loadgen.Compare(reports[0], reports[1])
	v.print(c, func() { c.Print(v.Stdout) })
	if !c.Passed {
		return ExitRefused
	}
	return ExitDone
}

func (v *invocation) plotLoads() int {
	if len(v.args) == 0 {
		return v.usageError("-load-plot takes report files")
	}
	reports, code := v.readReports()
	if code != ExitDone {
		return code
	}
	return v.reportWriteError(loadgen.PlotLoads(v.measure.loadPlot, reports))
}
