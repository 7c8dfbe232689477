package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rs/xid"

	"github.com/shallotstep/shallotstep/transport/loadgen"
)

// loadOptions are the flags of the command load.
type loadOptions struct {
	config   loadgen.Config
	length   time.Duration
	patience time.Duration
	deadline time.Duration
	work     time.Duration
	load     float64
	sizes    string
	mix      string
	report   string
	plot     string
	compare  bool
}

// loadTimeout holds the longest run and its patience.
const loadTimeout = loadgen.MaxLength + 2*loadgen.DefaultPatience

func loadFlags(v *invocation) {
	o := &v.load
	f := v.flags
	f.StringVar(&v.service, "service", "", "the `name` of the service; empty is the one that the mix is for")
	f.Float64Var(&o.config.TasksPerSecond, "rate", 0, "tasks per `second`, on average")
	f.Float64Var(&o.config.JobsPerSecond, "jobs-per-second", 0, "jobs per `second`, on average, instead of -rate")
	f.Float64Var(&o.load, "load", 0, "work per second in `percent` of all slots, instead of -rate")
	f.StringVar(&o.sizes, "tasks-per-job", loadgen.DefaultTasks, "`N`, N-M, a list such as 1=0.6,2-10=0.4, or mix")
	f.DurationVar(&o.length, "for", loadgen.DefaultLength, "how long jobs arrive, at most 5m")
	f.DurationVar(&o.patience, "patience", loadgen.DefaultPatience, "how long to wait for answers after that")
	f.DurationVar(&o.deadline, "deadline", 0, "the deadline of each job; 0 leaves it to the service")
	f.Uint64Var(&o.config.Seed, "seed", 1, "decides arrivals, sizes and work")
	f.StringVar(&o.mix, "mix", loadgen.DefaultMix, "what tasks do: haneul, gridlog or fixed")
	f.DurationVar(&o.work, "work", loadgen.DefaultWork, "how long each task of the mix fixed takes")
	f.Float64Var(&o.config.Resubmit, "resubmit", 0, "the `share` of jobs that are submitted twice")
	f.Float64Var(&o.config.Cancel, "cancel", 0, "the `share` of jobs that are cancelled")
	f.StringVar(&o.report, "report", "", "write the report as JSON to this `file`")
	f.StringVar(&o.plot, "plot", "", "write the plots as PNG to this `file`")
	f.BoolVar(&o.compare, "compare", false, "compare two report files instead of putting on any load")
	// The common limit on how long to try is shorter than a run.
	timeout := f.Lookup("timeout")
	timeout.DefValue = loadTimeout.String()
	v.timeout = loadTimeout
	f.Lookup("addr").Usage = "the entries' `addresses`, separated by commas; each host:port or URL"
}

// runLoad exits with ExitRefused when a check on the answers fails.
func runLoad(ctx context.Context, v *invocation) int {
	if v.load.compare {
		return v.compareReports()
	}
	if len(v.args) > 0 {
		return v.usageError("load takes files with -compare only")
	}
	config, err := v.loadConfig()
	if err != nil {
		return v.usageError("%v", err)
	}
	entries, code := v.connectAll()
	if code != ExitDone {
		return code
	}
	r, err := loadgen.Run(ctx, config, entries)
	if err != nil {
		fmt.Fprintf(v.Stderr, "shallotstep: %v\n", err)
		return ExitRefused
	}
	code = v.print(r, func() { r.Print(v.Stdout) })
	if !v.saveReport(r) || !r.Passed() {
		return ExitRefused
	}
	return code
}

func (v *invocation) loadConfig() (loadgen.Config, error) {
	o := &v.load
	c := o.config
	var err error
	if c.Mix, err = loadgen.ParseMix(o.mix, o.work); err != nil {
		return c, err
	}
	if c.Sizes, err = loadgen.ParseSizes(o.sizes); err != nil {
		return c, err
	}
	c.Service = v.service
	if c.Service == "" {
		c.Service = c.Mix.Service
	}
	c.Run = "load-" + xid.New().String()
	const percent = 100
	c.Load = o.load / percent
	c.Length = loadgen.Duration(o.length)
	c.Patience = loadgen.Duration(o.patience)
	c.Deadline = loadgen.Duration(o.deadline)
	return c, c.Check()
}

// connectAll returns a client for each address.
func (v *invocation) connectAll() ([]loadgen.Caller, int) {
	var entries []loadgen.Caller
	for _, addr := range strings.Split(v.addr, ",") {
		v.addr = addr
		c, code := v.connect()
		if code != ExitDone {
			return nil, code
		}
		entries = append(entries, c)
	}
	return entries, ExitDone
}

func (v *invocation) saveReport(r *loadgen.Report) bool {
	ok := true
	save := func(path string, write func(string) error) {
		if path == "" {
			return
		}
		if err := write(path); err != nil {
			fmt.Fprintf(v.Stderr, "shallotstep: %v\n", err)
			ok = false
		}
	}
	save(v.load.report, r.Write)
	save(v.load.plot, r.Plot)
	return ok
}

func (v *invocation) compareReports() int {
	const two = 2
	if len(v.args) != two {
		return v.usageError("-compare takes two report files")
	}
	var reports [two]*loadgen.Report
	for i, name := range v.args {
		var err error
		if reports[i], err = loadgen.Read(name); err != nil {
			return v.usageError("%v", err)
		}
	}
	c := loadgen.Compare(reports[0], reports[1])
	v.print(c, func() { c.Print(v.Stdout) })
	if !c.Passed {
		return ExitRefused
	}
	return ExitDone
}
