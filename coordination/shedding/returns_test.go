package shedding

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against clients that are all told the same time and come back as one wave. With two cores,
// of which a quarter is promised, 100 jobs of 50 ms take ten seconds.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	r := NewReturns(1)
	perSecond := make(map[int]int)
	for i := range 100 {
		after := r.Promise(time.Hour, fmt.Sprint(i), 50*ms, 200*ms, 2)
		is.True(after >= 200*ms)
		perSecond[int(after/time.Second)]++
	}
	for s, n := range perSecond {
		if n > 15 {
			t.Errorf("%d clients are to come back within second %d", n, s)
		}
	}
}

// Guards against promises without end or bound: beyond what fits, clients are spread over the whole
// period, also if there is no capacity at all or a job is larger than a slot.
func TestReturnsAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewReturns(1)
	perSecond := make(map[int]int)
	for i := range 3 * maxReturns {
		after := r.Promise(0, fmt.Sprint(i), time.Second, time.Second, 0)
		is.True(after >= time.Second && after <= (slots+1)*slotLength)
		perSecond[int(after/time.Second)]++
	}
	for _, n := range perSecond {
		is.True(n < maxReturns)
	}
	is.True(len(r.jobs) <= maxReturns && len(r.order) <= maxReturns)
}

// Guards against a client that comes at any time and is let in before others.
func TestOnlyAPromisedReturnIsDue(t *testing.T) {
	is := is.New(t)
	r := NewReturns(1)
	after := r.Promise(0, "a", 50*ms, time.Second, 4)
	is.True(!r.Due(after, "b"))
	is.True(r.Due(after+time.Second, "a")) // HTTP rounds up to a second
	is.True(!r.Due(after+time.Second, "a"))
	after = r.Promise(0, "a", 50*ms, time.Second, 4)
	is.True(!r.Due(after-early-1, "a"))
	after = r.Promise(0, "a", 50*ms, time.Second, 4)
	is.True(!r.Due(after+keptFor+1, "a"))
}

// Guards against promises of the past that keep the slots of the future full.
func TestPassedSlotsAreFree(t *testing.T) {
	is := is.New(t)
	r := NewReturns(1)
	for i := range 1000 {
		r.Promise(0, fmt.Sprint(i), time.Second, time.Second, 1)
	}
	is.True(r.Promise(time.Hour, "x", 50*ms, time.Second, 1) <= time.Second+slotLength)
	is.True(r.Promise(time.Hour+2*time.Second, "y", 50*ms, time.Second, 1) <= time.Second+slotLength)
}

// Guards against a job that comes back often and loses its newest promise with its oldest one.
func TestNewestPromiseOutlivesOlderOnes(t *testing.T) {
	is := is.New(t)
	r := NewReturns(1)
	r.Promise(0, "a", 50*ms, time.Second, 4)
	is.True(r.Due(time.Second, "a"))
	after := r.Promise(0, "a", 50*ms, time.Second, 4)
	for i := range maxReturns - 1 {
		r.Promise(0, fmt.Sprint(i), time.Second, time.Second, 4)
	}
	is.True(r.Due(after, "a"))
	is.True(len(r.jobs) <= maxReturns && len(r.order) <= maxReturns)
}

// BenchmarkReturn measures the cost of a job that comes back and is refused again, which holds up
// its shard, while as many promises as possible are remembered.
func BenchmarkReturn(b *testing.B) {
	r := NewReturns(1)
	ids := make([]string, maxReturns)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
		r.Promise(0, ids[i], time.Second, time.Second, 10)
	}
	i := 0
	for b.Loop() {
		id := ids[i%maxReturns]
		r.Due(time.Second, id)
		r.Promise(0, id, time.Second, time.Second, 10)
		i++
	}
}
