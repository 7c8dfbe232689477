package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/transport/httpclient"
)

// row is the figures of one role in one phase: means over its processes, and
// rates over the phase.
type row struct {
	Agents      int     `json:"agents"`
	Phase       string  `json:"phase"`
	Role        string  `json:"role"`
	LoadAverage float64 `json:"load_average"`
	Seconds     float64 `json:"seconds"`

	CPUPercent       float64 `json:"cpu_percent"`
	ResidentMB       float64 `json:"resident_mb"`
	SwitchesPerSec   float64 `json:"switches_per_second"`
	MessagesPerSec   float64 `json:"messages_per_second"`
	SentBytesPerSec  float64 `json:"control_bytes_per_second"`
	ReceivedBytesPer float64 `json:"received_bytes_per_second"`
	Links            float64 `json:"links"`
	Goroutines       float64 `json:"goroutines"`
	HeapMB           float64 `json:"heap_mb"`
	Collections      float64 `json:"collections_per_second"`

	// Per start of a task, anywhere in the fleet; only under load.
	Starts           float64 `json:"starts_per_second,omitempty"`
	MicrosPerStart   float64 `json:"cpu_us_per_start,omitempty"`
	MessagesPerStart float64 `json:"messages_per_start,omitempty"`
	BytesPerStart    float64 `json:"bytes_per_start,omitempty"`
	AllocsPerStart   float64 `json:"allocations_per_start,omitempty"`
	SwitchesPerStart float64 `json:"switches_per_start,omitempty"`
}

func header() string {
	return "agents phase  role         load%avg  cpu%  res.MB  heapMB  gc/s  switch/s  msg/s  sent B/s  recv B/s  links  gorout. | starts/s  us/start  msg/start  B/start  allocs/start  switch/start"
}

func (r *row) line() string {
	return fmt.Sprintf("%6d %-6s %-12s %7.1f %6.2f %7.1f %7.1f %5.2f %9.1f %6.2f %9.0f %9.0f %6.1f %8.0f | %8.1f %9.0f %10.2f %8.0f %13.0f %13.1f",
		r.Agents, r.Phase, r.Role, r.LoadAverage, r.CPUPercent, r.ResidentMB, r.HeapMB, r.Collections, r.SwitchesPerSec, r.MessagesPerSec,
		r.SentBytesPerSec, r.ReceivedBytesPer, r.Links, r.Goroutines,
		r.Starts, r.MicrosPerStart, r.MessagesPerStart, r.BytesPerStart, r.AllocsPerStart, r.SwitchesPerStart)
}

// measureFleet starts a fleet, measures it idle and loaded, and ends it.
func measureFleet(ctx context.Context, s *settings, dir string, n int) ([]row, error) {
	f, err := startFleet(ctx, s, dir, n)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	var rows []row
	if s.idle > 0 {
		idle, err := f.measure(ctx, "idle", n, func() error { return httpclient.Sleep(ctx, s.idle) })
		if err != nil {
			return nil, err
		}
		rows = append(rows, idle...)
	}
	if s.length > 0 {
		loaded, err := f.measure(ctx, "loaded", n, func() error { return f.load(ctx, n) })
		rows = append(rows, loaded...)
		return rows, err
	}
	return rows, nil
}

// load runs the built command line, which checks every answer.
func (f *fleet) load(ctx context.Context, n int) error {
	plan := filepath.Join(f.dir, "plan.json")
	text := fmt.Sprintf(`{"plan": "fleet", "length": %q, "loads": [
	{"service": %q, "mix": "fixed", "work": %q, "tasks_per_job": %q, "tasks_per_second": %g}]}`,
		f.opts.length, service, f.opts.work, f.opts.tasks, f.opts.rate*float64(n))
	if err := os.WriteFile(plan, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "plan")
	}
	cmd := exec.CommandContext(ctx, filepath.Join(f.dir, clientProgram), "measure", "-target", f.entryAddr, "-plan", plan)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "measure: %s", out)
	}
	return nil
}

func (f *fleet) sampleAll(ctx context.Context) ([]sample, error) {
	out := make([]sample, len(f.processes))
	var err error
	for i, p := range f.processes {
		if out[i], err = take(ctx, p); err != nil {
			return nil, errors.Wrapf(err, "process of role %s", p.role)
		}
	}
	return out, nil
}

// measure samples all processes before and after what.
func (f *fleet) measure(ctx context.Context, phase string, n int, what func() error) ([]row, error) {
	before, err := f.sampleAll(ctx)
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	if err := what(); err != nil {
		return nil, err
	}
	seconds := time.Since(begin).Seconds()
	after, err := f.sampleAll(ctx)
	if err != nil {
		return nil, err
	}
	starts := 0.0
	for i := range after {
		starts += after[i].metrics[startsMetric] - before[i].metrics[startsMetric]
	}
	var rows []row
	for _, role := range []string{roleAgent, roleEntry, roleLog} {
		var b, a []sample
		for i, p := range f.processes {
			if p.role == role {
				b, a = append(b, before[i]), append(a, after[i])
			}
		}
		r := figures(b, a, seconds, starts)
		r.Agents, r.Phase, r.Role, r.LoadAverage = n, phase, role, loadAverage()
		rows = append(rows, r)
	}
	return rows, nil
}

const startsMetric = "shallotstep_admit_starts_total"

// figures returns what one role's processes used between two samples.
func figures(before, after []sample, seconds, starts float64) row {
	count := float64(len(after))
	used := func(of func(*sample) float64) float64 {
		sum := 0.0
		for i := range after {
			sum += of(&after[i]) - of(&before[i])
		}
		return sum
	}
	metric := func(name string) func(*sample) float64 {
		return func(s *sample) float64 { return s.metrics[name] }
	}
	held := func(of func(*sample) float64) float64 {
		sum := 0.0
		for i := range after {
			sum += of(&after[i])
		}
		return sum / count
	}
	const percent, kb, mb, micro = 100, 1024, 1e6, 1e6
	cpu := used(func(s *sample) float64 { return s.cpuSeconds })
	switches := used(func(s *sample) float64 { return s.switches })
	messages := used(metric("shallotstep_link_messages_sent_total"))
	sent := used(metric("shallotstep_link_bytes_total out"))
	r := row{
		Seconds:          seconds,
		CPUPercent:       cpu / seconds / count * percent,
		ResidentMB:       held(func(s *sample) float64 { return s.residentKB }) * kb / mb,
		SwitchesPerSec:   switches / seconds / count,
		MessagesPerSec:   messages / seconds / count,
		SentBytesPerSec:  sent / seconds / count,
		ReceivedBytesPer: used(metric("shallotstep_link_bytes_total in")) / seconds / count,
		Links:            held(metric("shallotstep_link_sessions")),
		Goroutines:       held(metric("go_goroutines")),
		HeapMB:           held(metric("go_memstats_heap_inuse_bytes")) / mb,
		Collections:      used(metric("go_gc_duration_seconds_count")) / seconds / count,
	}
	if starts > 0 {
		r.Starts = starts / seconds
		r.MicrosPerStart = cpu * micro / starts
		r.MessagesPerStart = messages / starts
		r.BytesPerStart = sent / starts
		r.AllocsPerStart = used(metric("go_memstats_mallocs_total")) / starts
		r.SwitchesPerStart = switches / starts
	}
	return r
}

// loadAverage is the machine's, over a minute; 0 if it isn't known.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	n, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return n
}
