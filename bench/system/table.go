package main

import (
	"fmt"
	"time"

	"github.com/shallotstep/shallotstep/daemon/dev"
	"github.com/shallotstep/shallotstep/transport/loadgen"
)

// idleLine tells what the system takes while nobody asks anything of it.
func (u *usage) idleLine() string {
	per := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 / u.wall.Seconds() }
	return fmt.Sprintf("idle for %v, processor ms per second: entry %.1f, agents %.1f, backend servers %.1f, other %.1f, whole process %.1f",
		u.wall.Round(time.Second), per(u.parts[dev.PartEntry]), per(u.parts[dev.PartAgent]),
		per(u.parts[dev.PartBackend]), per(u.parts[""]), per(u.process))
}

func header() string {
	return fmt.Sprintf("%5s %6s | %5s %6s %5s | %-17s | %-27s | %-13s | %-15s | %-13s | %-41s | %7s | %s\n%5s %6s | %5s %6s %5s | %8s %8s | %6s %6s %6s %6s | %6s %6s | %7s %7s | %6s %6s | %7s %7s %7s %7s %9s | %7s | %s",
		"load", "offer", "jobs", "tasks", "other", "response ms", "response over ideal", "over packed", "lost to it, ms", "per start", "processor microseconds per start", "late ms", "checks",
		"%", "%", "", "", "", "p50", "p99", "p50", "p90", "p99", "max", "p50", "p99", "p50", "p99", "msgs", "wasted", "entry", "agents", "backend", "load", "process", "p99", "failed")
}

func line(load int, r *loadgen.Report, u usage, truth *loadgen.Starts) string {
	per := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(max(1, truth.Tasks)) }
	failed := truth.Failed()
	for _, c := range r.Checks {
		failed += c.Failed
	}
	return fmt.Sprintf("%5d %6.1f | %5d %6d %5d | %8.1f %8.1f | %6.3f %6.3f %6.3f %6.2f | %6.3f %6.3f | %7.1f %7.1f | %6.3f %6.3f | %7.0f %7.0f %7.0f %7.0f %9.0f | %7.1f | %d",
		load, percent*r.Load, r.Jobs, r.Tasks, r.Jobs-int(r.Response.Count),
		r.Response.P50, r.Response.P99,
		r.Ratio.P50, r.Ratio.P90, r.Ratio.P99, r.Ratio.Max,
		r.OverPacked.P50, r.OverPacked.P99, r.LostToPacked.P50, r.LostToPacked.P99,
		r.Messages.PerStart, r.Messages.WastedPerStart,
		per(u.parts[dev.PartEntry]), per(u.parts[dev.PartAgent]), per(u.parts[dev.PartBackend]), per(u.parts[partLoad]), per(u.process),
		r.SendLag.P99, failed)
}
