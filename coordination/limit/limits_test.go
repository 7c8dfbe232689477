package limit

import (
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
