package speed

import (
	"math"
	"time"
)

const (
	// deviationWeight is the weight of one run in the short-term average. About the last seven
	// runs count, so that few runs of a server that turns slow are learned.
	deviationWeight = 0.15
	// maxShortDeviation bounds by how much one run can deviate in the short-term average, so that
	// one task that takes many times as long as others doesn't count as a deviation.
	maxShortDeviation = 1.2
	// passingTime is how long a server has to deviate for this to become its speed. Faults that
	// come and go last some seconds.
	passingTime = 20 * time.Second
	// maxPause is the longest time between two runs that counts as time in which the server
	// deviates. A server that gets no work shows nothing.
	maxPause = 2 * time.Second
)

// deviating is the logarithm of the factor from the known speed at which a server deviates: that of
// a slowdown that owners see.
var deviating = math.Log(1.5)

// deviation watches whether a server currently runs much slower or faster than its known speed.
type deviation struct {
	// short is the short-term average of the deviations of runs.
	short float64
	// since is the average of the runs since the server deviates. lasted is for how long it does,
	// up to the run at lastRun.
	since   average
	active  bool
	lasted  time.Duration
	lastRun time.Duration
}

// observe adds a run and reports whether the server deviates from its known speed. A run that counts
// less than most counts less here too.
func (d *deviation) observe(now time.Duration, s sample, known *average) bool {
	weight := deviationWeight * known.relative(s)
	d.short += weight * (bound(s.log-known.log, maxShortDeviation) - d.short)
	if math.Abs(d.short) < deviating+uncertainty(known.runs(now)) {
		*d = deviation{short: d.short}
		return false
	}
	if d.active {
		d.lasted += min(now-d.lastRun, maxPause)
	}
	d.active, d.lastRun = true, now
	d.since.add(now, s)
	return true
}

// lasts reports whether the deviation is no passing one.
func (d *deviation) lasts(now time.Duration) bool {
	return d.lasted >= passingTime && d.since.runs(now) >= minRuns
}
