package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// benchDeaths is how many fleets lose one host each.
	benchDeaths = 60
	// benchPauses is how many pauses are made for each wait and length.
	benchPauses = 600
	// pauseEvery is between two pauses of one member.
	pauseEvery = time.Minute
	wordsLost  = 0.01
)

var benchWaits = []time.Duration{8, 10, 12, 13, 15, 20}

// BenchmarkDeadHost gives the time from a host's death until each share has a
// living pair again, by EvictAfter. The log takes 50 ms to append and to read.
func BenchmarkDeadHost(b *testing.B) {
	for _, wait := range benchWaits {
		b.Run(fmt.Sprintf("wait=%ds", wait), func(b *testing.B) {
			for b.Loop() {
				var times []time.Duration
				for seed := range uint64(benchDeaths) {
					f := faults{unheard: wordsLost, lag: func(int) time.Duration { return worldTick }}
					f.dead = func(t time.Duration, i int) bool { return i == 3 && t >= time.Duration(seed)*worldTick }
					w := newWorld(seed, Options{EvictAfter: wait * time.Second}, site("j", 12, 12), f)
					times = append(times, w.run(time.Minute, true)-time.Duration(seed)*worldTick)
				}
				slices.Sort(times)
				b.ReportMetric(times[len(times)/2].Seconds(), "s-p50")
				b.ReportMetric(times[len(times)-1].Seconds(), "s-max")
			}
		})
	}
}

// BenchmarkPauses gives the living members that are evicted for each 1,000
// pauses of a length, by EvictAfter. Each member pauses once a minute, and 1 %
// of the words are lost. With slow, each member stands still for two of every
// five seconds besides.
func BenchmarkPauses(b *testing.B) {
	for _, slow := range []bool{false, true} {
		for _, wait := range benchWaits {
			for _, length := range []time.Duration{2, 4, 6, 7, 8, 9, 10, 11, 12, 14} {
				b.Run(fmt.Sprintf("slow=%v/wait=%ds/pause=%ds", slow, wait, length), func(b *testing.B) {
					for b.Loop() {
						wrong, pauses := 0, 0
						for seed := uint64(0); pauses < benchPauses; seed++ {
							e, p := pausesOnce(seed, wait*time.Second, length*time.Second, slow)
							wrong += e
							pauses += p
						}
						b.ReportMetric(1000*float64(wrong)/float64(pauses), "evicted/1000")
					}
				})
			}
		}
	}
}

// pausesOnce runs one fleet for one pause of each member.
func pausesOnce(seed uint64, wait, length time.Duration, slow bool) (evicted, pauses int) {
	members := site("j", 12, 12)
	rng := rand.New(rand.NewPCG(seed, 3))
	at := make([]time.Duration, len(members))
	for i := range at {
		at[i] = time.Duration(rng.Int64N(int64(pauseEvery)))
	}
	f := faults{unheard: wordsLost}
	f.paused = func(t time.Duration, i int) bool {
		standing := slow && (t+at[i])%(5*time.Second) < 2*time.Second
		return standing || t >= at[i] && t < at[i]+length
	}
	w := newWorld(seed, Options{EvictAfter: wait}, members, f)
	w.run(pauseEvery+30*time.Second, false)
	return w.evictedLiving(), len(members)
}
