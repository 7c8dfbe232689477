// Command placement measures how tasks are placed. It drives real home and
// admission machines over simulated time and links, in one process, and is
// the same for the same seed. It prints response against two ideals (the job
// alone on idle workers; an all-knowing queue), messages per start, and what
// of them led to no first start and no first result. Other ways to place run
// over the same jobs, links and admission machines; ours is given as a ratio
// to each.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/coordination/admit"
	"github.com/shallotstep/shallotstep/coordination/home"
)

// never is a share of the memory that nothing reaches.
const never = 1e9

// runs says what to run: every scenario at every load by every way with every seed.
type runs struct {
	base      config
	scenarios []string
	loads     []float64
	ways      []string
	seeds     int
	brief     bool
}

func main() {
	r, err := parse()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !r.brief {
		fmt.Println(header())
	}
	for _, scenario := range r.scenarios {
		for _, load := range r.loads {
			r.compare(scenario, load)
		}
	}
}

func parse() (*runs, error) {
	var (
		agents    = flag.Int("agents", 11, "number of agents, with 8 slots each")
		loads     = flag.String("loads", "30,60,80,95", "loads in percent of all slots")
		scenarios = flag.String("scenarios", "plain", "plain, big, mix, burst, hog, times, wrong, slow (wrong, and all tasks take seconds), straggler, broken")
		ways      = flag.String("way", wayOurs, strings.Join(allWays, ", ")+", or all")
		length    = flag.Duration("length", 2*time.Minute, "simulated time in which jobs arrive")
		seed      = flag.Uint64("seed", 1, "seed of the workload and of all lots drawn")
		seeds     = flag.Int("seeds", 1, "how many seeds to run, from seed on")
		brief     = flag.Bool("brief", false, "print only the means over the seeds")
		stale     = flag.Duration("stale", time.Second, "how often loads are spread among agents")
		deadline  = flag.Duration("deadline", time.Minute, "how long callers wait")
		subset    = flag.Int("subset", 32, "how many agents a home places tasks on")
		narrow    = flag.Int("narrow", home.DefaultNarrow, "how many of them it uses for small jobs")
		queue     = flag.Int("queue", 2, "tasks that may wait at an agent")
		ask       = flag.Int("ask", home.DefaultAsk, "agents told of a backlog at once")
		askPer    = flag.Int("askper", home.DefaultAskPer, "waiting tasks for which one more agent is told")
		caution   = flag.Float64("caution", admit.DefaultCaution, "by how much more than declared tasks of unknown services are taken to need")
		relief    = flag.Bool("relief", true, "interfere with running tasks for want of memory")
	)
	flag.Parse()
	c := config{agents: *agents, length: *length, seed: *seed, stale: *stale, deadline: *deadline, subset: *subset}
	c.home.Ask = *ask
	c.home.Narrow = *narrow
	c.home.AskPer = *askPer
	c.admit.QueueLimit = *queue
	c.admit.Caution = *caution
	if !*relief {
		c.admit.Marks = admit.Marks{Low: never, Hold: never, Throttle: never, Stop: never}
	}
	r := &runs{base: c, scenarios: strings.Split(*scenarios, ","), ways: strings.Split(*ways, ","), seeds: *seeds, brief: *brief}
	if *ways == "all" {
		r.ways = allWays
	}
	for _, way := range r.ways {
		if !slices.Contains(allWays, way) {
			return nil, fmt.Errorf("no such way: %q", way)
		}
	}
	for _, load := range strings.Split(*loads, ",") {
		percent, err := strconv.ParseFloat(load, 64)
		if err != nil {
			return nil, err
		}
		r.loads = append(r.loads, percent)
	}
	return r, nil
}

// compare runs every way over the same jobs and prints what each came to.
func (r *runs) compare(scenario string, percent float64) {
	var all []*summary
	for _, way := range r.ways {
		m := &summary{way: way}
		for k := range r.seeds {
			c := r.base
			c.scenario, c.load, c.way = scenario, percent/100, way
			c.seed += uint64(k)
			began := time.Now()
			res := c.run()
			m.add(res)
			if !r.brief {
				fmt.Println(res.line(fmt.Sprintf("%s %g%% %s seed %d", scenario, percent, way, c.seed)), time.Since(began).Round(time.Millisecond))
			}
		}
		all = append(all, m)
		fmt.Println(m.line(fmt.Sprintf("%s %g%% %d agents %s", scenario, percent, r.base.agents, way)))
	}
	for _, m := range all[1:] {
		if all[0].way == wayOurs {
			fmt.Println(all[0].against(m))
		}
	}
}

func (c *config) run() *result {
	if c.way == wayPacked {
		return runPacked(c)
	}
	return newSim(c).run()
}
