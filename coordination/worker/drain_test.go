package worker

import (
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// An order that waits at the agent must not start after its failure domain was drained. It is
// returned as not run, and running tasks go on and keep their capacity.
func TestWaitingOrdersReturnWhenTheDomainIsDrained(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	waits := f.order(2)
	f.send(waits)
	f.collect(f.DrainDomain(f.now, true))
	f.is.Equal(len(f.ended()), 1)
	f.is.Equal(f.ended()[0].Run, waits.Run)
	f.is.Equal(f.ended()[0].End, job.NeverRan)
	f.is.Equal(f.ended()[0].Reason, ReasonDomainDrained)
	f.is.Equal(len(f.active), 2)
	free := f.freeCPU()
	f.endRun(f.order(0).Run, job.Done)
	f.hold()
	f.is.Equal(len(f.active), 1) // its capacity is free, and nothing starts
	f.is.True(f.freeCPU() > free)
}

// An order that was sent before its sender learned of a drain must not start, also when the
// domain is drained and undrained in quick succession.
func TestOrderInADrainedDomainIsRefused(t *testing.T) {
	f := newFixture(t)
	for i := range 4 {
		f.collect(f.DrainDomain(f.now, true))
		f.is.True(!f.Load(f.now).Accepts)
		f.is.True(f.Load(f.now).Drained)
		f.is.Equal(len(f.send(f.order(2*i)).Starts), 0)
		f.collect(f.DrainDomain(f.now, false))
		f.is.True(f.Load(f.now).Accepts)
		f.advance(time.Millisecond)
	}
	f.is.Equal(len(f.ended()), 4)
	f.is.Equal(len(f.send(f.order(9)).Starts), 1)
	f.is.Equal(f.Stats().Drained, int64(4))
}

// A start that got no answer must not be sent again once the domain is drained. Only the
// server's list of runs or a stop that bars the run settles it.
func TestUnconfirmedStartInADrainedDomain(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	fx := f.Order(f.now, o)
	f.is.Equal(len(fx.Starts), 1)
	f.collect(f.DrainDomain(f.now, true))
	f.collect(f.StartAnswered(f.now, fx.Starts[0].Instance, o.Run, StartUnknown, ""))
	for range 20 {
		f.advance(50 * time.Millisecond)
		f.is.Equal(len(f.Tick(f.now).Starts), 0)
	}
}
