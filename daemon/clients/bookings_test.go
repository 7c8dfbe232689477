package clients

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/quota"
	"github.com/shallotstep/shallotstep/state"
)

var (
	testKey    = state.JobKey{Service: "desk", ID: "a"}
	otherKey   = state.JobKey{Service: "desk", ID: "b"}
	testLimits = quota.Limits{InFlight: 40, PerSecond: 40}
)

// A client sends its job of 30 tasks sixteen times at once, under one ID. Its operator
// may have 40 tasks in flight. The repeats were refused for want of what the first had
// taken, where they are to join it; another job of that size is refused in earnest.
func TestRepeatTakesNothingFromTheQuota(t *testing.T) {
	is := is.New(t)
	b := newBookings(1)
	for range 16 {
		_, ok := b.take(time.Hour, testKey, "team", testLimits, 30)
		is.True(ok)
	}
	_, ok := b.take(time.Hour, otherKey, "team", testLimits, 30)
	is.True(!ok)
	for range 15 {
		b.release(testKey)
	}
	_, ok = b.take(time.Hour, otherKey, "team", testLimits, 30)
	is.True(!ok) // one of them still waits
	b.release(testKey)
	_, ok = b.take(time.Hour+time.Second, otherKey, "team", testLimits, 30)
	is.True(ok)
}

// A client asks again for the answer of a job that has ended. Its owner says that the
// job was known: neither the tasks in flight nor those of the second are used up.
func TestKnownJobIsRefunded(t *testing.T) {
	is := is.New(t)
	b := newBookings(1)
	_, ok := b.take(time.Hour, testKey, "team", testLimits, 40)
	is.True(ok)
	b.refund(testKey)
	_, ok = b.take(time.Hour, otherKey, "team", testLimits, 40)
	is.True(ok)
	b.release(testKey)
	b.release(otherKey)
	_, ok = b.take(time.Hour+2*time.Second, testKey, "team", testLimits, 40)
	is.True(ok)
}

// A job is known though the quota is used up: its repeat joins without a booking.
func TestKnownJobJoinsAFullQuota(t *testing.T) {
	is := is.New(t)
	b := newBookings(1)
	_, ok := b.take(time.Hour, otherKey, "team", testLimits, 40)
	is.True(ok)
	_, ok = b.take(time.Hour, testKey, "team", testLimits, 30)
	is.True(!ok)
	b.join(testKey)
	b.refund(testKey)
	b.release(testKey)
	is.Equal(len(b.held), 1)
}
