// Command gossip measures ways of spreading agents' loads: how long until all
// know that an agent drains, how old the known loads are, how long the watchers
// of an agent don't hear from it, and what it costs in bytes and processor time.
//
// It runs plain objects in one process and in virtual time, with a seed, so a
// run can be repeated. Only the processor times are the machine's own.
package main

import (
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/shallotstep/shallotstep/transport/loadgen"
)

var (
	seed   = flag.Uint64("seed", 1, "seed of all draws")
	steady = flag.Duration("steady", 30*time.Second, "virtual time over which costs are measured")
	drains = flag.Int("drains", 9, "agents that drain one after the other")
	loss   = flag.Float64("loss", 0, "part of the messages that is lost")
	only   = flag.String("way", "", "measure this way only")
	most   = flag.Int("most", 990, "largest fleet to measure")
	least  = flag.Int("least", 0, "smallest fleet to measure")
	rows   = flag.String("rows", "", "also write a row for each fleet to this file, for shallotstep measure -fleet-plot")
)

// fleets are the sizes of today, one in between, and the target.
var fleets = []fleet{
	{agents: 11, regions: 1, domains: 3},
	{agents: 100, regions: 1, domains: 3},
	{agents: 990, regions: 2, domains: 2},
}

func main() {
	flag.Parse()
	var fleetRows []loadgen.FleetRow
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "way\tagents\tdrain known by 99 %\t99.9 %, worst\tall, worst\tload age p50\tp99\twatchers' silence\tsent KB/s\treceived KB/s\tmost KB/s\tcore %\t")
	for _, w := range ways {
		if *only != "" && *only != w.name {
			continue
		}
		for _, f := range fleets {
			if f.agents > *most || f.agents < *least {
				continue
			}
			r := measure(w, f)
			fmt.Fprintln(out, r.row(w, f))
			_ = out.Flush()
			fleetRows = append(fleetRows, r.fleetRow(w, f))
		}
	}
	if *rows == "" {
		return
	}
	if err := loadgen.WriteFleet(*rows, fleetRows); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fleetRow gives the busiest node's bytes, for the limit holds for each.
func (r result) fleetRow(w way, f fleet) loadgen.FleetRow {
	const kilobyte = 1000
	return loadgen.FleetRow{Name: w.name, Agents: f.agents, ControlBytesPerSecond: kilobyte * r.peak, CPUPercent: r.core}
}

func (r result) row(w way, f fleet) string {
	return fmt.Sprintf("%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.3f\t",
		w.name, f.agents, when(r.most), when(r.nearly), when(r.all),
		r.ageMedian.Round(10*time.Millisecond), r.ageP99.Round(10*time.Millisecond),
		r.silence.Round(10*time.Millisecond), r.sent, r.received, r.peak, r.core)
}

func when(d time.Duration) string {
	if d >= giveUp {
		return "never"
	}
	return d.Round(step).String()
}
