package main

import (
	"context"
	"fmt"
	"net"
	"runtime/pprof"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/xid"

	"github.com/shallotstep/shallotstep/daemon/dev"
	"github.com/shallotstep/shallotstep/protocol/standin"
	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpclient"
	"github.com/shallotstep/shallotstep/transport/loadgen"
)

// partLabel is the profile's label that names the part of the system.
const partLabel = "part"

// partLoad is the load tool itself.
const partLoad = "load"

// settleEvery is how often the start looks whether every slot is known.
const settleEvery = 50 * time.Millisecond

// system is the system under test and a client of its entry.
type system struct {
	dev    *dev.System
	client *httpclient.Client
}

func start(ctx context.Context, s *settings) (*system, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	d, err := dev.Start(ctx, dev.Options{HTTP: l, Agents: s.agents, Slots: s.slots, Around: label})
	if err != nil {
		return nil, err
	}
	sys := &system{dev: d}
	if sys.client, err = httpclient.New(httpclient.Options{Addr: d.Addr()}); err == nil {
		err = sys.settle(ctx, s.agents*s.slots)
	}
	if err != nil {
		sys.stop()
		return nil, err
	}
	return sys, nil
}

// label marks every goroutine that comes of f with its part.
func label(part string, f func()) {
	pprof.Do(context.Background(), pprof.Labels(partLabel, part), func(context.Context) { f() })
}

// settle waits until the entry knows every slot.
func (sys *system) settle(ctx context.Context, slots int) error {
	for {
		known := 0
		if doc, f := sys.client.Status(ctx); f == nil {
			for i := range doc.Agents {
				known += doc.Agents[i].Slots
			}
		}
		if known == slots {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("the entry knows %d of %d slots", known, slots)
		}
		sleep(ctx, settleEvery)
	}
}

func (sys *system) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if err := sys.dev.Stop(ctx); err != nil {
		fmt.Println(err)
	}
}

// counted reads the counts of a stand-in in this process.
type counted struct{ *backendserver.Server }

// Starts implements loadgen.Backend; all jobs are the run's own or of ones before.
func (c counted) Starts(context.Context, string) (map[state.TaskKey]int, error) {
	return c.AllStarts(), nil
}

// SetFaults implements loadgen.Backend. No plan of this command has faults.
func (c counted) SetFaults(context.Context, standin.Faults) error {
	return errors.New("no fault is set here")
}

// runLoad puts one load on the system, prints its line and says whether all
// checks passed.
func (sys *system) runLoad(ctx context.Context, s *settings, load int) (bool, error) {
	c := loadgen.Config{
		Service:  service,
		Load:     float64(load) / percent,
		Sizes:    s.sizes,
		Mix:      s.mix,
		Length:   loadgen.Duration(s.length),
		Patience: loadgen.Duration(loadgen.DefaultPatience),
		Seed:     s.seed,
		Resubmit: s.resubmit,
		Cancel:   s.cancel,
		Run:      "system-" + xid.New().String(),
	}
	name := strconv.Itoa(load)
	target := loadgen.Target{Entries: [][]loadgen.Caller{{sys.client}}}
	plan := &loadgen.Plan{Name: "system " + name, Loads: []loadgen.Config{c}}
	for _, b := range sys.dev.Backends() {
		plan.Backends = append(plan.Backends, b.URL())
		target.Backends = append(target.Backends, counted{b})
	}
	var m *loadgen.Measurement
	u, err := measure(s.file("cpu-"+name, "pprof"), func() error {
		var err error
		label(partLoad, func() { m, err = loadgen.Measure(ctx, plan, target) })
		return err
	})
	if err != nil {
		return false, err
	}
	r := m.Loads[0]
	fmt.Println(line(load, r, u, &m.Starts))
	for _, v := range r.Violations {
		fmt.Printf("  %s: job %s: %s\n", v.Check, v.Job, v.Detail)
	}
	for _, fault := range m.Starts.Faults {
		fmt.Printf("  starts: %s\n", fault)
	}
	if s.dir != "" {
		if err := m.Write(s.file("load-"+name, "json")); err != nil {
			return false, err
		}
		if err := m.Plot(s.file("load-"+name, "svg")); err != nil {
			return false, err
		}
	}
	return m.Passed, nil
}
