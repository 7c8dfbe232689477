package worker

import (
	"testing"

	"github.com/shallotstep/shallotstep/state/job"
)

// Guards against runs that are started a second time because their row in a list could not be read.
func TestRunMissingFromAnIncompleteListIsNotLost(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(1))
	f.hold()
	c, _ := f.Hold(f.now)
	f.collect(f.HoldAnswered(f.now, c, HoldResult{ClockMS: f.clock, Incomplete: true}))
	f.is.Equal(len(f.ended()), 0)
	c, _ = f.Hold(f.now)
	f.collect(f.HoldAnswered(f.now, c, HoldResult{ClockMS: f.clock}))
	f.is.Equal(len(f.ended()), 1)
	f.is.Equal(f.ended()[0].End, job.Lapsed)
}
