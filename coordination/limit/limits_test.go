package limit

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

var start = time.Unix(1_000_000, 0)

func TestQuotaInFlightIsDividedByEntries(t *testing.T) {
	is := is.New(t)
	l := New(Options{})
	l.SetQuota("haneul", Quota{TasksInFlight: 100})
	l.SetEntries(4)
	is.True(l.Admit(start, "haneul", "bench", 25, 0).OK)
	v := l.Admit(start, "haneul", "bench", 1, 0)
	is.Equal(v.Reason, state.ReasonQuota)
	is.True(v.RetryAfter > 0)
	is.True(l.Admit(start, "gridlog", "yard", 1000, 0).OK) // another operator
	l.Done(start, "haneul", "bench", 25, time.Millisecond, true)
	is.True(l.Admit(start, "haneul", "bench", 100, 0).OK) // larger than the part, alone
	v = l.Admit(start, "haneul", "bench", 101, 0)
	is.Equal(v, Verdict{Reason: state.ReasonQuota}) // never fits: no Retry-After
}

func TestQuotaRateHoldsOverTimeWithLargeJobs(t *testing.T) {
	is := is.New(t)
	l := New(Options{})
	l.SetQuota("haneul", Quota{TasksPerSecond: 100})
	admitted := 0
	for now := start; now.Before(start.Add(100 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if v := l.Admit(now, "haneul", "bench", 300, 0); v.OK {
			admitted += 300
			l.Done(now, "haneul", "bench", 300, time.Millisecond, true)
		} else {
			is.True(v.RetryAfter > 0 && v.RetryAfter <= 3*time.Second)
		}
	}
	is.True(admitted >= 9_900 && admitted <= 10_400)
}

// One operator sends a burst that fills the fleet, the others go on as ever.
// The small ones are let in at once, above the limit; the large one gets what
// they leave, and all refused are told when to come back.
func TestFairSharingUnderBurst(t *testing.T) {
	is := is.New(t)
	const operators = 280
	l := New(Options{StartInFlight: 1000, MaxInFlight: 1000})
	type job struct {
		operator string
		end      time.Time
	}
	var running []job
	refused := map[string]int{}
	inFlight := map[string]int{}
	for ms := range 2000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		running = slices.DeleteFunc(running, func(j job) bool {
			if j.end.After(now) {
				return false
			}
			inFlight[j.operator]--
			l.Finish(now, End{Operator: j.operator, Service: "s", Tasks: 1, Elapsed: 200 * time.Millisecond, Ran: 200 * time.Millisecond, OK: true})
			return true
		})
		offer := func(operator string) {
			v := l.Admit(now, operator, "s", 1, 0)
			if v.OK {
				running = append(running, job{operator, now.Add(200 * time.Millisecond)})
				inFlight[operator]++
				return
			}
			is.True(v.RetryAfter >= minRetry && v.RetryAfter <= maxRetry)
			if operator != "large" || ms > 500 {
				refused[operator]++
			}
		}
		for range 20 { // 4000 in flight if all were let in
			offer("large")
		}
		for n := ms % 100; ms > 300 && n < operators-1; n += 100 { // two in flight each
			offer(fmt.Sprint("op", n))
		}
		is.True(len(running) <= 1500) // the head room bounds the excess
	}
	large := refused["large"]
	delete(refused, "large")
	t.Logf("large refused %d, others %v, large in flight at the end %d of %d", large, refused, inFlight["large"], len(running))
	is.Equal(len(refused), 0)
	is.True(large > 0)
	is.True(inFlight["large"] >= 420 && inFlight["large"] <= 460) // 1000 less 2*279
}

// Responses have grown to a second of waiting. What can't be answered in time
// is refused before it starts; once nothing was seen for a while it is tried
// again, and what is too short for the run alone need not come back.
func TestShedsByDeadline(t *testing.T) {
	is := is.New(t)
	l := New(Options{})
	for range 64 {
		is.True(l.Admit(start, "haneul", "bench", 1, time.Second).OK)
		l.Finish(start, End{Operator: "haneul", Service: "bench", Tasks: 1, Elapsed: 1200 * time.Millisecond, Ran: 200 * time.Millisecond, OK: true})
		if l.Admit(start, "gridlog", "bench", 1, time.Second).Reason == state.ReasonDeadlineUnreachable {
			break
		}
		l.Done(start, "gridlog", "bench", 1, 200*time.Millisecond, false)
	}
	v := l.Admit(start, "haneul", "bench", 1, 700*time.Millisecond)
	is.Equal(v.Reason, state.ReasonDeadlineUnreachable)
	is.True(v.RetryAfter > 0 && v.RetryAfter < 3*time.Second)
	is.True(l.Admit(start, "haneul", "bench", 1, 5*time.Second).OK)
	is.True(l.Admit(start.Add(v.RetryAfter+time.Millisecond), "haneul", "bench", 1, 700*time.Millisecond).OK)
	is.Equal(l.Admit(start, "haneul", "bench", 1, 100*time.Millisecond), Verdict{Reason: state.ReasonDeadlineUnreachable})
}

// A burst of ten seconds' work is refused. If everybody comes back when told,
// they come back at half of the rate at which the fleet drains, not all at once.
func TestRetryAfterSpreadsTheReturn(t *testing.T) {
	is := is.New(t)
	l := New(Options{StartInFlight: 20, MaxInFlight: 20})
	now := start
	for range 500 { // drains 100 tasks a second
		now = now.Add(10 * time.Millisecond)
		l.Admit(now, "haneul", "bench", 1, 0)
		l.Done(now, "haneul", "bench", 1, 10*time.Millisecond, true)
	}
	is.True(l.Admit(now, "haneul", "bench", 20, 0).OK)
	perSecond := map[int]int{}
	for n := range 500 {
		v := l.Admit(now, fmt.Sprint("op", n%5), "bench", 1, 0)
		if !v.OK {
			perSecond[int(v.RetryAfter.Seconds())]++
		}
	}
	t.Log(perSecond)
	for second, n := range perSecond {
		is.True(n <= 60)     // half of the drain rate, the rest is for newcomers
		is.True(second < 11) // and no later than that needs
	}
}

// Two operators want more than the fleet has. The one of three times the weight
// gets three times the share, a third that asks for little gets all it asks for.
func TestFairShareByWeight(t *testing.T) {
	is := is.New(t)
	share := fairShare(100, []demand{{1000, 3}, {1000, 1}, {20, 1}})
	is.Equal(share, 20.0) // 80 left for a weight of 4
	is.True(math.IsInf(fairShare(100, []demand{{40, 3}, {20, 1}}), 1))
}

// After a start with a long queue, jobs of 32 tasks took five seconds each, of
// which their longest task ran for one. The queue has gone since. A caller that
// waits for two seconds is told when to come back, and then let in: what the
// queue took must not count as the run that no wait can shorten.
func TestLargeJobsAreNotShedForGood(t *testing.T) {
	is := is.New(t)
	l := New(Options{})
	for range 64 {
		l.Admit(start, "haneul", "bench", 32, 0)
		l.Finish(start, End{Operator: "haneul", Service: "bench", Tasks: 32, Elapsed: 5 * time.Second, Ran: time.Second, OK: true})
	}
	v := l.Admit(start, "haneul", "bench", 32, 2*time.Second)
	is.Equal(v.Reason, state.ReasonDeadlineUnreachable)
	is.True(v.RetryAfter > 0)
	is.True(l.Admit(start.Add(v.RetryAfter+time.Millisecond), "haneul", "bench", 32, 2*time.Second).OK)
}
