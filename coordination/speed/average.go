package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// startRuns is the least number of runs from which the first average is taken. Client estimates
	// are off by a third, so the average of as many is off by a tenth.
	startRuns = 24
	// startEqualRuns is the least number of equal runs that these have to count as: most of them may
	// be short ones, which count little.
	startEqualRuns = 12
	// memoryRuns is the number of the latest equal runs that count. Their average is off by a fiftieth,
	// and a busy server is through with them in half a minute.
	memoryRuns = 600
	// memoryTime is the time constant with which runs are forgotten at a server that gets few. It
	// is several times as long as a passing fault lasts.
	memoryTime = time.Minute
	// maxDeviation bounds by how much one run can deviate from the average, as a logarithm of the
	// factor. A few tasks in a hundred take many times as long as others, which says nothing about
	// their server.
	maxDeviation = 0.8
)

// sample is what one run says: the logarithm of the speed, and how much that counts.
type sample struct{ log, weight float64 }

// average is a weighted moving average of logarithms. It is robust against outliers: it starts with
// the median of some runs, and bounds how far a later one can move it.
type average struct {
	// first has the samples before the average is known.
	first []sample
	known bool
	log   float64
	// weight and squares are the decayed sums of the weights and of their squares. Together they
	// tell the number of equal runs that would count as much.
	weight, squares float64
	// at is the time up to which both have decayed.
	at time.Duration
}

func (a *average) add(now time.Duration, s sample) {
	if !a.known {
		a.collect(now, s)
		return
	}
	a.decay(now)
	if a.squares == 0 {
		return
	}
	// Many short runs, which say little, must not replace the long ones.
	keep := 1 - a.relative(s)/memoryRuns
	a.weight = keep*a.weight + s.weight
	a.squares = keep*a.squares + s.weight*s.weight
	a.log += s.weight / a.weight * bound(s.log-a.log, maxDeviation)
}

// relative returns how much a sample counts compared with those that the average rests on, at most 1.
func (a *average) relative(s sample) float64 { return min(1, s.weight*a.weight/a.squares) }

// collect keeps a sample until there are enough for the median.
func (a *average) collect(now time.Duration, s sample) {
	a.first = append(a.first, s)
	a.weight += s.weight
	a.squares += s.weight * s.weight
	if len(a.first) < startRuns || a.weight*a.weight < startEqualRuns*a.squares {
		return
	}
	a.known, a.at, a.log = true, now, median(a.first)
	a.first = nil
}

// decay forgets runs by their age.
func (a *average) decay(now time.Duration) {
	f := decayFactor(now - a.at)
	a.weight *= f
	a.squares *= f
	a.at = now
}

// runs returns the number of equal runs that the average rests on.
func (a *average) runs(now time.Duration) float64 {
	if !a.known || a.squares == 0 {
		return 0
	}
	return a.weight * a.weight / a.squares * decayFactor(now-a.at)
}

func decayFactor(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(memoryTime))
}

// median returns the weighted median of samples, and sorts them.
func median(samples []sample) float64 {
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.log, b.log) })
	var total float64
	for _, s := range samples {
		total += s.weight
	}
	var sum float64
	for _, s := range samples {
		if sum += s.weight; sum >= total/2 {
			return s.log
		}
	}
	return samples[len(samples)-1].log
}

func bound(x, limit float64) float64 { return min(max(x, -limit), limit) }
