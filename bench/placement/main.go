// Command placement measures how tasks are placed. It drives real home and
// admission machines over simulated time and links, in one process, and is
// the same for the same seed. It prints response against two ideals (the job
// alone on idle workers; an all-knowing queue), messages per start, and what
// of them led to no first start and no first result.
package main

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/coordination/admit"
	"github.com/shallotstep/shallotstep/coordination/home"
)

// never is a share of the memory that nothing reaches.
const never = 1e9

func main() {
	var (
		agents    = flag.Int("agents", 11, "number of agents, with 8 slots each")
		loads     = flag.String("loads", "30,60,80,95", "loads in percent of all slots")
		scenarios = flag.String("scenarios", "plain", "plain, big, mix, burst, hog, times, wrong, slow (wrong, and all tasks take seconds), straggler, broken")
		length    = flag.Duration("length", 2*time.Minute, "simulated time in which jobs arrive")
		seed      = flag.Uint64("seed", 1, "seed of the workload and of all lots drawn")
		stale     = flag.Duration("stale", time.Second, "how often loads are spread among agents")
		deadline  = flag.Duration("deadline", time.Minute, "how long callers wait")
		subset    = flag.Int("subset", 32, "how many agents a home places tasks on")
		narrow    = flag.Int("narrow", home.DefaultNarrow, "how many of them it uses for small jobs")
		queue     = flag.Int("queue", 2, "tasks that may wait at an agent")
		ask       = flag.Int("ask", home.DefaultAsk, "agents told of a backlog at once")
		askPer    = flag.Int("askper", home.DefaultAskPer, "waiting tasks for which one more agent is told")
	)
	caution := flag.Float64("caution", admit.DefaultCaution, "by how much more than declared tasks of unknown services are taken to need")
	relief := flag.Bool("relief", true, "interfere with running tasks for want of memory")
	flag.Parse()
	fmt.Println(header())
	for _, scenario := range strings.Split(*scenarios, ",") {
		for _, load := range strings.Split(*loads, ",") {
			percent, err := strconv.Atoi(load)
			if err != nil {
				fmt.Println(err)
				return
			}
			c := &config{
				agents: *agents, load: float64(percent) / 100, length: *length, seed: *seed,
				scenario: scenario, stale: *stale, deadline: *deadline, subset: *subset,
			}
			c.home.Ask = *ask
			c.home.Narrow = *narrow
			c.home.AskPer = *askPer
			c.admit.QueueLimit = *queue
			c.admit.Caution = *caution
			if !*relief {
				c.admit.Marks = admit.Marks{Low: never, Hold: never, Throttle: never, Stop: never}
			}
			began := time.Now()
			r := newSim(c).run()
			fmt.Println(r.line(fmt.Sprintf("%s %s%%", scenario, load)), time.Since(began).Round(time.Millisecond))
		}
	}
}
