package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// returning is a caller that was refused and comes back when it was told to.
type returning struct {
	at       time.Duration
	operator string
	back     int // how often it has come back
}

// returnsResult counts what became of callers at their first and later returns.
type returnsResult struct {
	offered, served, refused int
	first, firstServed       int // came back for the first time, and were let in
	returns, returnsServed   int
	most                     int // returns of one caller
	forGood                  int // told not to come back
	told                     time.Duration
}

func (r returnsResult) String() string {
	return fmt.Sprintf("offered %d, refused at first %d, back once %d of which served %d, all returns %d served %d, most by one %d, told not to %d, told %v on average",
		r.offered, r.refused, r.first, r.firstServed, r.returns, r.returnsServed, r.most, r.forGood, (r.told / time.Duration(max(1, r.refused+r.returns-r.returnsServed))).Round(time.Millisecond))
}

// playReturns offers single tasks of 280 operators to 88 slots for two minutes. load
// gives the load at a time, in parts of all slots. Who is refused comes back at
// the time it was told.
func playReturns(seed uint64, load func(time.Duration) float64) (res returnsResult) {
	const operators, slots = 280, 88
	l := New(Options{StartInFlight: 4 * slots})
	rng := rand.New(rand.NewPCG(seed, 3))
	type running struct {
		returning
		arrived, end, run time.Duration
	}
	var queue, busy []running
	back := make(map[time.Duration][]returning) // by the millisecond
	owed := 0.0
	for at := time.Duration(0); at < 2*time.Minute; at += time.Millisecond {
		now := start.Add(at)
		busy = slices.DeleteFunc(busy, func(r running) bool {
			if r.end <= at {
				l.Finish(now, End{Operator: r.operator, Service: "s", Tasks: 1, Elapsed: at - r.arrived, Ran: r.run, OK: true})
			}
			return r.end <= at
		})
		offer := func(c returning) {
			v := l.Admit(now, c.operator, "s", 1, 10*time.Second)
			res.seen(c, v)
			switch {
			case v.OK:
				run := minRun + time.Duration(rng.ExpFloat64()*float64(meanRun-minRun))
				queue = append(queue, running{c, at, 0, run})
			case v.RetryAfter > 0:
				when := (at + v.RetryAfter + time.Millisecond).Truncate(time.Millisecond)
				back[when] = append(back[when], returning{when, c.operator, c.back + 1})
				res.told += v.RetryAfter
			}
		}
		for _, c := range back[at] {
			offer(c)
		}
		delete(back, at)
		for owed += load(at) * slots / meanRun.Seconds() / 1000; owed >= 1; owed-- {
			offer(returning{operator: fmt.Sprint("op", rng.IntN(operators))})
		}
		for len(queue) > 0 && len(busy) < slots {
			r := queue[0]
			queue, r.end = queue[1:], at+r.run
			busy = append(busy, r)
		}
	}
	return res
}

func (r *returnsResult) seen(c returning, v Verdict) {
	r.most = max(r.most, c.back)
	if c.back == 0 {
		r.offered++
		if !v.OK {
			r.refused++
		}
	} else {
		r.returns++
		if v.OK {
			r.returnsServed++
		}
	}
	if c.back == 1 {
		r.first++
		if v.OK {
			r.firstServed++
		}
	}
	if v.OK {
		r.served++
	} else if v.RetryAfter == 0 && v.Reason != state.ReasonNone {
		r.forGood++
	}
}

// Four times the load comes for five seconds, on top of a calm or a busy fleet,
// and more than it carries throughout. Who is refused comes back when told. Most
// must be served at their first return: a Retry-After that many come back at in
// vain is no truer than none. After a burst everybody is served in the end.
func TestRetryAfterIsTrue(t *testing.T) {
	for _, c := range []struct {
		usual, burst float64
		percent      int // of first returns that must be served
	}{{0.6, 4, 80}, {0.8, 4, 65}, {0.9, 4, 60}, {1.2, 1.2, 50}} {
		t.Run(fmt.Sprint(c.usual, " then ", c.burst), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for seed := range uint64(2) {
				r := playReturns(seed, func(at time.Duration) float64 {
					if at > 20*time.Second && at < 25*time.Second {
						return c.burst
					}
					return c.usual
				})
				t.Log(r)
				is.True(r.first > 1000)
				is.True(r.firstServed*100 >= r.first*c.percent)
				is.Equal(r.forGood, 0)
				is.True(c.usual > 0.8 || r.served == r.offered)
			}
		})
	}
}
