package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A job of 1,000 tasks is submitted under a quota of 400 per second and is accepted. The next
// job gets an accurate retry delay: not before the first job's tokens are earned back, and not
// much later.
func TestLargeJobIsAcceptedAndDelaysTheNext(t *testing.T) {
	is := is.New(t)
	q := New(1)
	l := Limits{InFlight: 2000, PerSecond: 400}
	_, ok := q.Take(0, "haneul", l, 1000)
	is.True(ok)
	wait, ok := q.Take(0, "haneul", l, 1)
	is.True(!ok)
	is.True(wait > 1500*time.Millisecond && wait < 1510*time.Millisecond)
	_, ok = q.Take(wait-10*time.Millisecond, "haneul", l, 1)
	is.True(!ok)
	_, ok = q.Take(wait, "haneul", l, 1)
	is.True(ok)
}

// An operator that submits without pause for a minute gets its rate plus one second's quota,
// with one entry as with four. Other operators are not affected.
func TestRateHoldsOverAMinute(t *testing.T) {
	for _, entries := range []int{1, 4} {
		is := is.New(t)
		l := Limits{InFlight: 1 << 30, PerSecond: 100}
		accepted := 0
		for range entries {
			q := New(entries)
			for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
				if _, ok := q.Take(now, "gridlog", l, 5); ok {
					accepted += 5
				}
			}
			_, ok := q.Take(time.Minute, "haneul", l, 1)
			is.True(ok)
		}
		is.True(accepted >= 6000 && accepted <= 6100+5*entries)
	}
}

func TestInFlightIsBounded(t *testing.T) {
	is := is.New(t)
	q := New(2)
	l := Limits{InFlight: 20, PerSecond: 1000}
	_, ok := q.Take(0, "haneul", l, 10)
	is.True(ok)
	_, ok = q.Take(0, "haneul", l, 1)
	is.True(!ok) // the other entry enforces the other half
	q.Release("haneul", 10)
	_, ok = q.Take(0, "haneul", l, 1)
	is.True(ok)
}

// After a pause, twice the quota must not be accepted within one second: no one-second window
// holds more tasks than the quota.
func TestRateHoldsInAnySecond(t *testing.T) {
	is := is.New(t)
	q := New(1)
	l := Limits{InFlight: 1 << 30, PerSecond: 100}
	var accepted []time.Duration
	for now := 3900 * time.Millisecond; now < 9*time.Second; now += time.Millisecond {
		if _, ok := q.Take(now, "gridlog", l, 5); ok {
			accepted = append(accepted, now)
		}
	}
	for i, from := range accepted {
		tasks := 0
		for _, at := range accepted[i:] {
			if at-from < time.Second {
				tasks += 5
			}
		}
		is.True(tasks <= 100)
	}
	is.True(len(accepted)*5 >= 500)
}

// A caller that retries after the returned delay must be accepted.
func TestRetryDelayIsAccurate(t *testing.T) {
	is := is.New(t)
	q := New(1)
	l := Limits{InFlight: 1 << 30, PerSecond: 100}
	_, ok := q.Take(0, "gridlog", l, 60)
	is.True(ok)
	_, ok = q.Take(300*time.Millisecond, "gridlog", l, 30)
	is.True(ok)
	wait, ok := q.Take(500*time.Millisecond, "gridlog", l, 20)
	is.True(!ok)
	is.Equal(wait, 500*time.Millisecond)
	_, ok = q.Take(500*time.Millisecond+wait, "gridlog", l, 20)
	is.True(ok)
}
