package shedding

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against shedding for the loss of single servers, and against not seeing that a third is
// gone.
func TestFallIsSeenOnce(t *testing.T) {
	is := is.New(t)
	var c Capacity
	is.True(!c.Observe(0, 0)) // no agent is linked yet
	is.True(!c.Observe(time.Second, 600))
	is.True(!c.Observe(2*time.Second, 560))
	is.True(!c.Short(2 * time.Second))
	is.True(c.Observe(3*time.Second, 400))
	is.True(!c.Observe(3*time.Second+50*time.Millisecond, 400))
	is.True(c.Short(4 * time.Second))
	is.Equal(c.Former(), 600.0)
}

// Guards against shedding that goes on after a drain was taken back at once, or for good after
// servers were taken away.
func TestFallEnds(t *testing.T) {
	is := is.New(t)
	var c Capacity
	c.Observe(0, 600)
	c.Observe(time.Second, 400)
	c.Observe(time.Second+20*time.Millisecond, 600)
	is.True(!c.Short(time.Second + 20*time.Millisecond))
	c.Observe(2*time.Second, 400)
	c.Observe(2*time.Second+memory+2*sampleInterval, 400)
	is.True(!c.Fallen())
}

// Guards against an owner that takes the return of everybody for normal operation because it has
// just started and has seen no capacity fall.
func TestReturningClientsShowAShortage(t *testing.T) {
	is := is.New(t)
	var c Capacity
	c.Observe(0, 600)
	is.True(!c.Short(0))
	c.Submitted(time.Second, true)
	is.True(c.Short(time.Second + recoveryPeriod - 1))
	is.True(!c.Short(time.Second + recoveryPeriod))
}

// Guards against memory that grows with the time for which an owner runs.
func TestCapacitySamplesAreBounded(t *testing.T) {
	is := is.New(t)
	var c Capacity
	for i := range 10000 {
		c.Observe(time.Duration(i)*100*time.Millisecond, 600)
	}
	is.True(len(c.samples) <= int(memory/sampleInterval)+1)
}

// Guards against a shortage without end that a few clients show which wait less than others, and
// against not seeing that many return beside new ones.
func TestSingleReturnsShowNoShortage(t *testing.T) {
	is := is.New(t)
	var c Capacity
	now := time.Hour
	c.Observe(now, 600)
	submit := func(n, every int) (short bool) {
		for i := range n {
			now += 10 * ms
			c.Submitted(now, i%every == every-1)
			short = short || c.Short(now)
		}
		return short
	}
	is.True(!submit(2000, 50))
	is.True(submit(400, 2))
	is.True(c.Short(now))
	submit(600, 50)
	is.True(!c.Short(now))
}
