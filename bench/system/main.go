// Command system measures a whole system: the log stand-in, one entry, agents
// and stand-in backend servers, the real parts over real sockets on loopback, in
// one process. It puts several loads on it, one after the other, and prints
// response against the ideal, messages, processor time and checks. Beside what
// callers are told it checks what the backend servers really started.
//
// docs/MEASURING.md tells how to read it.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/transport/loadgen"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

const (
	startLimit = 30 * time.Second
	stopLimit  = 30 * time.Second
	// service is the one that the development system declares.
	service = "bench-desk"
	percent = 100
)

// settings are the command's flags.
type settings struct {
	agents, slots int
	loads         []int
	length        time.Duration
	idle          time.Duration
	seed          uint64
	mix           loadgen.Mix
	sizes         loadgen.Sizes
	resubmit      float64
	cancel        float64
	dir           string
}

func main() {
	s, err := parse()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	passed, err := run(ctx, s)
	stop()
	klog.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !passed {
		os.Exit(1)
	}
}

func parse() (*settings, error) {
	s := new(settings)
	var loads, mix, sizes string
	var work time.Duration
	flag.IntVar(&s.agents, "agents", 11, "number of agents, each with its backend server")
	flag.IntVar(&s.slots, "slots", 8, "slots of each backend server")
	flag.StringVar(&loads, "loads", "30,60,80,95", "loads in percent of all slots, one run each")
	flag.DurationVar(&s.length, "for", 30*time.Second, "how long jobs arrive in each run")
	flag.DurationVar(&s.idle, "idle", 5*time.Second, "how long to measure the idle system first")
	flag.Uint64Var(&s.seed, "seed", 1, "decides arrivals, sizes and work")
	flag.StringVar(&mix, "mix", loadgen.DefaultMix, "what tasks do: haneul, gridlog or fixed")
	flag.DurationVar(&work, "work", loadgen.DefaultWork, "how long each task of the mix fixed takes")
	flag.StringVar(&sizes, "tasks-per-job", loadgen.DefaultTasks, "N, N-M, a list such as 1=0.6,2-10=0.4, or mix")
	flag.Float64Var(&s.resubmit, "resubmit", 0.05, "the share of jobs that are submitted twice")
	flag.Float64Var(&s.cancel, "cancel", 0, "the share of jobs that are cancelled")
	flag.StringVar(&s.dir, "dir", "", "write reports, plots and processor profiles to this directory")
	verbosity := flag.Int("v", 0, "verbosity of the system's log")
	flag.Parse()
	if flag.NArg() > 0 {
		return nil, errors.Errorf("unexpected argument %q", flag.Arg(0))
	}
	var err error
	if s.mix, err = loadgen.ParseMix(mix, work); err != nil {
		return nil, err
	}
	if s.sizes, err = loadgen.ParseSizes(sizes); err != nil {
		return nil, err
	}
	for _, text := range strings.Split(loads, ",") {
		load, err := strconv.Atoi(text)
		if err != nil || load <= 0 {
			return nil, errors.Errorf("%q is no load in percent", text)
		}
		s.loads = append(s.loads, load)
	}
	return s, metrics.SetupLog(*verbosity)
}

// run measures everything and says whether all checks passed.
func run(ctx context.Context, s *settings) (bool, error) {
	if s.dir != "" {
		if err := os.MkdirAll(s.dir, 0o755); err != nil {
			return false, errors.Wrap(err, "directory")
		}
	}
	sys, err := start(ctx, s)
	if err != nil {
		return false, err
	}
	defer sys.stop()
	idle, err := measure(s.file("idle", "pprof"), func() error {
		sleep(ctx, s.idle)
		return nil
	})
	if err != nil {
		return false, err
	}
	fmt.Println(idle.idleLine())
	fmt.Println(header())
	passed := true
	for _, load := range s.loads {
		if ctx.Err() != nil {
			return false, errors.Wrap(ctx.Err(), "stopped")
		}
		ok, err := sys.runLoad(ctx, s, load)
		if err != nil {
			return false, err
		}
		passed = passed && ok
	}
	return passed, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// file names a file in the directory; empty without one.
func (s *settings) file(name, extension string) string {
	if s.dir == "" {
		return ""
	}
	return s.dir + string(os.PathSeparator) + name + "." + extension
}
