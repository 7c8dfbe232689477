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

// Guards against refusing concurrent resubmissions of a job because its first submission
// uses the quota. The operator may have 40 tasks in flight, and a client submits a job of
// 30 tasks sixteen times under one ID: the fifteen repeats must join the first. Another
// job of 30 tasks must be refused until all sixteen are answered.
func TestRepeatTakesNothingFromTheQuota(t *testing.T) {
	is := is.New(t)
	b := newQuotaReservations(1)
	for range 16 {
		_, ok := b.reserve(time.Hour, testKey, "team", testLimits, 30)
		is.True(ok)
	}
	_, ok := b.reserve(time.Hour, otherKey, "team", testLimits, 30)
	is.True(!ok)
	for range 15 {
		b.release(testKey)
	}
	_, ok = b.reserve(time.Hour, otherKey, "team", testLimits, 30)
	is.True(!ok) // one submission is still in progress
	b.release(testKey)
	_, ok = b.reserve(time.Hour+time.Second, otherKey, "team", testLimits, 30)
	is.True(ok)
}

// A resubmission of a job that its owner already knows must use neither the quota of
// tasks in flight nor that of tasks per second.
func TestKnownJobIsRefunded(t *testing.T) {
	is := is.New(t)
	b := newQuotaReservations(1)
	_, ok := b.reserve(time.Hour, testKey, "team", testLimits, 40)
	is.True(ok)
	b.refund(testKey)
	_, ok = b.reserve(time.Hour, otherKey, "team", testLimits, 40)
	is.True(ok)
	b.release(testKey)
	b.release(otherKey)
	_, ok = b.reserve(time.Hour+2*time.Second, testKey, "team", testLimits, 40)
	is.True(ok)
}

// A resubmission of a known job must be accepted while the quota is used up, and must
// not change the quota.
func TestKnownJobJoinsAFullQuota(t *testing.T) {
	is := is.New(t)
	b := newQuotaReservations(1)
	_, ok := b.reserve(time.Hour, otherKey, "team", testLimits, 40)
	is.True(ok)
	_, ok = b.reserve(time.Hour, testKey, "team", testLimits, 30)
	is.True(!ok)
	b.join(testKey)
	b.refund(testKey)
	b.release(testKey)
	is.Equal(len(b.byJob), 1)
}
