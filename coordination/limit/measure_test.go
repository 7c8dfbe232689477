package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// controller is what is compared: a limit that learns from finished work.
type controller interface {
	observe(now time.Time, s sample)
	current() int64
}

// gradient is the alternative that was weighed: the limit follows the ratio of
// no-load response to response of a round, plus a queue of its square root.
type gradient struct{ adaptive }

func (g *gradient) observe(now time.Time, s sample) {
	if !g.round.add(now, s) {
		return
	}
	slope := max(0.5, min(1, congested*g.round.ran.Seconds()/g.round.elapsed.Seconds()))
	if next := g.limit*slope + math.Sqrt(g.limit); next < g.limit || float64(g.round.mostRunning) >= g.limit*inUse {
		g.limit = max(g.floor, min(g.ceiling, 0.8*g.limit+0.2*next))
	}
	g.round = round{}
}

// unlimited admits everything.
type unlimited struct{}

func (unlimited) observe(time.Time, sample) {}
func (unlimited) current() int64            { return math.MaxInt64 }

// task is one unit of work in the measured queue.
type task struct{ arrived, end, run time.Duration }

// result is what the second half of a run came to.
type result struct {
	done      int
	meanLimit float64
	mean, p95 time.Duration
}

func (r result) String() string {
	return fmt.Sprintf("done %d mean %v p95 %v limit %.0f", r.done, r.mean, r.p95, r.meanLimit)
}

// meanRun is the mean run time in the measured queue, minRun its floor: 50 ms
// to a second and some more, as the brief has them.
const (
	minRun  = 50 * time.Millisecond
	meanRun = 200 * time.Millisecond
)

// play offers load tasks per second for a minute to one queue before slots.
func play(c controller, slots func(time.Duration) int, load float64) (res result) {
	const tick, span = time.Millisecond, time.Minute
	rng := rand.New(rand.NewPCG(1, 1))
	var queue, running []task
	var responses []time.Duration
	var limits, owed float64
	for at := time.Duration(0); at < span; at += tick {
		inFlight := int64(len(queue) + len(running))
		running = slices.DeleteFunc(running, func(t task) bool {
			if t.end > at {
				return false
			}
			c.observe(start.Add(at), sample{elapsed: at - t.arrived, ran: t.run, inFlight: inFlight})
			if at > span/2 {
				responses = append(responses, at-t.arrived)
			}
			return true
		})
		for owed += load * tick.Seconds() * 2 * rng.Float64(); owed >= 1; owed-- {
			if int64(len(queue)+len(running)) < c.current() {
				queue = append(queue, task{arrived: at})
			}
		}
		for len(queue) > 0 && len(running) < slots(at) {
			run := minRun + time.Duration(rng.ExpFloat64()*float64(meanRun-minRun))
			running = append(running, task{queue[0].arrived, at + run, run})
			queue = queue[1:]
		}
		if at > span/2 {
			limits += float64(c.current())
		}
	}
	slices.Sort(responses)
	for _, r := range responses {
		res.mean += r / time.Duration(len(responses))
	}
	res.done, res.p95 = len(responses), responses[len(responses)*95/100].Round(time.Millisecond)
	res.meanLimit = math.Round(limits / float64(span/2/tick))
	res.mean = res.mean.Round(time.Millisecond)
	return res
}

// The limit must let through what the slots can carry, keep the response near
// the run time under any overload, and follow when half of the slots go.
func TestAdaptiveAgainstGradient(t *testing.T) {
	is := is.New(t)
	fleets := map[string]func(time.Duration) int{
		"steady": func(time.Duration) int { return 88 },
		"halved": func(at time.Duration) int {
			if at > 20*time.Second {
				return 44
			}
			return 88
		},
	}
	for _, load := range []float64{0.6, 0.95, 1.5, 3} {
		for name, slots := range fleets {
			offered := load * 88 / meanRun.Seconds()
			none := play(unlimited{}, slots, offered)
			aimd := play(newAdaptive(16, 256, 4096), slots, offered)
			grad := play(&gradient{adaptive{floor: 16, limit: 256, ceiling: 4096}}, slots, offered)
			t.Logf("%s, load %.2f: none %v, aimd %v, gradient %v", name, load, none, aimd, grad)
			is.True(float64(aimd.done) >= 0.98*float64(none.done))
			is.True(aimd.mean <= 3*meanRun/2)
			is.True(aimd.mean <= grad.mean)
		}
	}
}
