package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// 28 of 280 operators flood the entry, half of them with twice the weight. The
// other 252 ask for little and are let in at once, always. What they leave goes
// to the 28 by weight, each within a quarter of its share on average, and what is
// in flight stays bounded.
func TestManyFloodersShareByWeight(t *testing.T) {
	is := is.New(t)
	const operators, flooders, limit, run = 280, 28, 2000, 200 * time.Millisecond
	l := New(Options{StartInFlight: limit, MaxInFlight: limit})
	name := func(i int) string { return fmt.Sprint("op", i) }
	for i := range flooders {
		l.SetQuota(name(i), Quota{Weight: float64(1 + i%2)})
	}
	type job struct {
		operator int
		end      time.Time
	}
	rng := rand.New(rand.NewPCG(1, 4))
	var running []job
	held := make([]int, operators)
	sum := make([]float64, operators)
	refused := 0
	offer := func(now time.Time, i int) bool {
		v := l.Admit(now, name(i), "s", 1, 0)
		if v.OK {
			running = append(running, job{i, now.Add(run)})
			held[i]++
		}
		return v.OK
	}
	const warm, end = 1000, 4000
	for ms := range end {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		running = slices.DeleteFunc(running, func(j job) bool {
			if j.end.After(now) {
				return false
			}
			held[j.operator]--
			l.Finish(now, End{Operator: name(j.operator), Service: "s", Tasks: 1, Elapsed: run, Ran: run, OK: true})
			return true
		})
		for _, i := range rng.Perm(flooders) {
			offer(now, i) // 200 in flight each, 5,600 in all, if let in
		}
		for i := flooders + ms%100; i < operators; i += 100 { // two each
			if !offer(now, i) && ms >= warm {
				refused++
			}
		}
		is.True(len(running) <= headRoom*limit)
		for i := range held {
			if ms >= warm {
				sum[i] += float64(held[i]) / (end - warm)
			}
		}
	}
	unit := (limit - 2*float64(operators-flooders)) / (flooders / 2 * 3)
	t.Logf("others refused %d, flooders %.0f, fair %.0f and %.0f", refused, sum[:flooders], unit, 2*unit)
	is.Equal(refused, 0)
	for i := range flooders {
		fair := unit * float64(1+i%2)
		is.True(sum[i] >= 0.75*fair && sum[i] <= 1.25*fair)
	}
}
