// Command fleet measures daemons as plain processes: the log stand-in, one entry
// and N agents, each the built program with a settings file of its own, on
// loopback. Stand-in backend servers run in this process, the load comes from
// the built command line. For each N it reads /proc and /metrics over an idle
// time and over a bounded load, and prints a line for each role.
//
// It ends only what it has started, each by its id; if it dies itself, the
// kernel ends them.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/transport/metrics"
)

// maxAgents keeps a run below 200 processes.
const maxAgents = 150

// settings are the command's flags.
type settings struct {
	sizes      []int
	idle       time.Duration
	length     time.Duration
	rate       float64
	tasks      string
	work       time.Duration
	slots      int
	memoryMB   int
	processors int
	secure     bool
	rows       string
	keepLogsAt string
}

func main() {
	// The kernel ends the children of a thread with it: see startProcess.
	runtime.LockOSThread()
	s, err := parse()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err = run(ctx, s)
	stop()
	klog.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func parse() (*settings, error) {
	s := new(settings)
	var sizes string
	flag.StringVar(&sizes, "agents", "1,10,30", "numbers of agents, one fleet each")
	flag.DurationVar(&s.idle, "idle", 30*time.Second, "how long to measure the idle fleet; 0 leaves it out")
	flag.DurationVar(&s.length, "for", 20*time.Second, "how long jobs arrive; 0 puts on no load")
	flag.Float64Var(&s.rate, "rate", 3, "task starts a second for each agent")
	flag.StringVar(&s.tasks, "tasks-per-job", "10", "as tasks_per_job of a plan")
	flag.DurationVar(&s.work, "work", 50*time.Millisecond, "how long each task takes")
	flag.IntVar(&s.slots, "slots", 8, "slots of each backend server")
	flag.IntVar(&s.memoryMB, "memory", -1, "limits.memory_mb of each daemon; -1 leaves it out")
	flag.IntVar(&s.processors, "processors", -1, "limits.processors of each agent; -1 leaves it out")
	flag.BoolVar(&s.secure, "tls", true, "links with TLS")
	flag.StringVar(&s.rows, "json", "", "write the rows to this `file`, one JSON object a line")
	flag.StringVar(&s.keepLogsAt, "logs", "", "keep what the daemons write in this `directory`")
	flag.Parse()
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAgents {
			return nil, errors.Errorf("%q agents: must be 1 to %d", text, maxAgents)
		}
		s.sizes = append(s.sizes, n)
	}
	return s, metrics.SetupLog(0)
}

func run(ctx context.Context, s *settings) error {
	dir, err := os.MkdirTemp("", "shallotstep-fleet-")
	if err != nil {
		return errors.Wrap(err, "directory")
	}
	defer os.RemoveAll(dir)
	if err := build(ctx, dir); err != nil {
		return err
	}
	var rows []row
	fmt.Println(header())
	for _, n := range s.sizes {
		got, err := measureFleet(ctx, s, dir, n)
		rows = append(rows, got...)
		for i := range got {
			fmt.Println(got[i].line())
		}
		if err != nil {
			return errors.Wrapf(err, "%d agents", n)
		}
	}
	return writeRows(s.rows, rows)
}

func writeRows(path string, rows []row) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "rows")
	}
	enc := json.NewEncoder(f)
	for i := range rows {
		if err := enc.Encode(&rows[i]); err != nil {
			return errors.Wrap(err, "rows")
		}
	}
	return errors.Wrap(f.Close(), "rows")
}
