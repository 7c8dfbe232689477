// Package shedding decides what to give up when the backend servers can do less than they could
// when the work that waits was accepted, and when refused clients are told to come back.
//
// It has no clock: times come in as now, a reading of any clock that doesn't go back.
package shedding

import "time"

const (
	// fallShare is the share of the former capacity below which capacity counts as lost. Admission
	// leaves a quarter of each objective as headroom, which bears the loss of single servers.
	fallShare = 0.9
	// memory is for how long a former capacity is remembered. After that, the callers have been
	// refused by the smaller one for longer than any of them waits.
	memory = time.Minute
	// recoveryPeriod is how long the return of clients is expected to take once they are seen to
	// return: clients wait a second or two before they try again.
	recoveryPeriod = 2 * time.Second
	// sampleInterval is the resolution at which capacities are remembered.
	sampleInterval = time.Second
)

// Capacity notices that capacity was lost. The zero value knows no capacity yet.
type Capacity struct {
	// samples has the largest capacity of each sampleInterval within memory, oldest first.
	samples []sample
	// former is the largest capacity in samples, and cores the last one.
	former, cores float64
	// returnSeen is when more than 1-fallShare of the submissions were last returns; returnKnown is
	// false if they never were.
	returnSeen  time.Duration
	returnKnown bool
	// current counts the submissions since countedSince, and earlier those of the time before. Each
	// is half a recoveryPeriod.
	current, earlier submissions
	countedSince     time.Duration
}

type submissions struct{ all, returned int }

type sample struct {
	at    time.Duration
	cores float64
}

// Observe takes in the cores of all servers that accept work, and reports whether this observation
// is the one at which capacity falls.
func (c *Capacity) Observe(now time.Duration, cores float64) bool {
	before := c.Fallen()
	c.cores = cores
	for len(c.samples) > 0 && now-c.samples[0].at > memory {
		c.samples = c.samples[1:]
	}
	n := len(c.samples)
	if n > 0 && now-c.samples[n-1].at < sampleInterval {
		c.samples[n-1].cores = max(c.samples[n-1].cores, cores)
	} else {
		c.samples = append(c.samples, sample{at: now, cores: cores})
	}
	c.former = 0
	for _, s := range c.samples {
		c.former = max(c.former, s.cores)
	}
	return c.Fallen() && !before
}

// Fallen reports whether the servers have lost capacity within memory.
func (c *Capacity) Fallen() bool { return c.cores < fallShare*c.former }

// Former returns the largest capacity within memory, in cores.
func (c *Capacity) Former() float64 { return c.former }

// Submitted counts a submission, which is a return if its client had waited before it lost its
// connection. Single returns show nothing: clients lose connections, and some wait less than others.
func (c *Capacity) Submitted(now time.Duration, returned bool) {
	if now-c.countedSince >= recoveryPeriod/2 {
		c.earlier = c.current
		if now-c.countedSince >= recoveryPeriod {
			c.earlier = submissions{}
		}
		c.current, c.countedSince = submissions{}, now
	}
	c.current.all++
	if !returned {
		return
	}
	c.current.returned++
	all, back := c.earlier.all+c.current.all, c.earlier.returned+c.current.returned
	if float64(back) > (1-fallShare)*float64(all) {
		c.returnSeen, c.returnKnown = now, true
	}
}

// Short reports whether there is less capacity than callers could expect: some was lost, or it has
// just returned and with it the clients that were cut off.
func (c *Capacity) Short(now time.Duration) bool {
	return c.Fallen() || c.returnKnown && now-c.returnSeen < recoveryPeriod
}
