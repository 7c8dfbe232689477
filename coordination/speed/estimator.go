package speed

import (
	"math"
	"time"
)

const (
	// detectionHalf is the run time at which a run counts half. Ends are seen up to 50 ms late, which
	// would make a task of 50 ms look half as fast as it is. Half of that delay is below a tenth of
	// this run time.
	detectionHalf = 300 * time.Millisecond
	// minWeight is the weight of the shortest runs. It bounds how many of them the first average
	// needs beside a few long ones.
	minWeight = 0.02
	// minRuns is the number of runs below which a speed is forgotten. The average of fewer is off
	// by more than a seventh, as much as the differences it is to tell.
	minRuns = 8
	// maxSpeed is the highest speed, and the inverse of the lowest one. Beyond it the expected run
	// times are wrong, not the server.
	maxSpeed = 32
)

// Estimator estimates the speed of one backend server. The zero value knows nothing.
type Estimator struct {
	average   average
	deviation deviation
}

// Observe learns from a run that was expected to take some time at speed 1 and took measured. It
// must be given only runs that completed and whose start and end were both seen, on a server that is
// not cold.
func (e *Estimator) Observe(now, expected, measured time.Duration) {
	if expected <= 0 || measured <= 0 {
		return
	}
	if e.runsKnown(now) == 0 {
		e.relearn()
	}
	s := e.sample(expected, measured)
	if !e.average.known {
		e.average.add(now, s)
		return
	}
	if !e.deviation.observe(now, s, &e.average) {
		e.average.add(now, s)
		return
	}
	if e.deviation.lasts(now) {
		e.average, e.deviation = e.deviation.since, deviation{}
	}
}

// sample returns what a run says. Its weight goes by the geometric mean of its expected and its
// measured run time: by either alone, estimates that are off would shift the average. The measured
// one is bounded, since tasks that take many times as long would get more weight by that.
func (e *Estimator) sample(expected, measured time.Duration) sample {
	log := bound(math.Log(float64(expected)/float64(measured)), math.Log(maxSpeed))
	near := log
	if e.average.known {
		near = e.average.log + bound(log-e.average.log, maxDeviation)
	}
	return sample{log: log, weight: weightOf(time.Duration(float64(expected) * math.Exp(-near/2)))}
}

// relearn forgets a speed that rests on too few runs. Runs that the first average is to be taken
// from are kept.
func (e *Estimator) relearn() {
	if e.average.known {
		*e = Estimator{}
	}
}

// weightOf returns the weight of a run in the average. The delay with which its end was seen
// distorts a long run less.
func weightOf(length time.Duration) float64 {
	x := float64(length) / float64(detectionHalf)
	return max(minWeight, x*x/(x*x+1))
}

// Speed returns the speed and the number of runs that it rests on, or zeros while it is unknown.
func (e *Estimator) Speed(now time.Duration) (speed float64, runs int) {
	if runs = e.runsKnown(now); runs == 0 {
		return 0, 0
	}
	return math.Exp(e.average.log), runs
}

// runsKnown returns the number of runs that the speed rests on, or 0 while it is unknown.
func (e *Estimator) runsKnown(now time.Duration) int {
	if n := e.average.runs(now); n >= minRuns {
		return int(n)
	}
	return 0
}

const (
	// minDifference is the least logarithm of a speed that counts as a difference. Run times vary
	// more than that from one task to the next.
	minDifference = 0.1
	// runNoise is the standard deviation of what one run says. Client estimates are off by a
	// third.
	runNoise = 0.4
	// significance is the number of standard deviations of the average that count as a difference.
	significance = 3
)

// Factor returns the factor by which expected run times are divided for local durations. It is 1
// while the speed is unknown or doesn't differ significantly from 1.
func (e *Estimator) Factor(now time.Duration) float64 {
	s, runs := e.Speed(now)
	if runs == 0 || math.Abs(e.average.log) < max(minDifference, uncertainty(float64(runs))) {
		return 1
	}
	return s
}

// uncertainty returns by how much the average of some runs may be off, as a logarithm.
func uncertainty(runs float64) float64 { return significance * runNoise / math.Sqrt(runs) }

// maxRestoredRuns bounds the runs that a restored speed rests on, so that it gives way within some
// seconds to what is measured.
const maxRestoredRuns = 48

// Restore continues with a speed that was stored, which counts as half of its runs. It returns false
// and knows nothing if no speed can be like that.
func (e *Estimator) Restore(now time.Duration, speed float64, runs int) bool {
	*e = Estimator{}
	if !Valid(speed, runs) {
		return false
	}
	n := float64(min(runs/2, maxRestoredRuns))
	w := weightOf(detectionHalf)
	e.average = average{known: true, log: math.Log(speed), weight: n * w, squares: n * w * w, at: now}
	return true
}

// Valid reports whether a speed and the number of its runs can be those of a server whose speed is
// known.
func Valid(speed float64, runs int) bool {
	return speed >= 1.0/maxSpeed && speed <= maxSpeed && runs > 0
}
