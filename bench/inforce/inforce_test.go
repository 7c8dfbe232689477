package inforce

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/declare"
	"github.com/shallotstep/shallotstep/standin/logserver"
	"github.com/shallotstep/shallotstep/state"
)

// limit is the time in which a change has to be in force everywhere.
const limit = declare.LateAfter

// settled lets a fleet come up with its operators declared, and returns the last
// version of it.
func settled(t *testing.T) (*fleet, func(), state.Version) {
	f, end := start(t)
	f.work.Go(f.watchLog)
	time.Sleep(time.Second)
	last := state.Version(0)
	for i := range operators {
		a := f.procs[i%2].apply(operator(i), 1)
		if a.Outcome != state.Complete {
			t.Fatalf("the first declaration of %s: %+v", operator(i), a)
		}
		last = max(last, a.Version)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Minute)
	return f, end, last
}

func operator(i int) string { return fmt.Sprintf("op%d", i%operators) }

// Changes come as often as at the target size, through two entries in turn, and
// the log is well. Then it loses the reply to every append: each caller still
// hears "complete", by reading, and no change takes longer.
func TestInForceWithRepliesLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, end, last := settled(t)
		defer end()
		for i := range 10 {
			a := f.procs[i%2].apply(operator(i), 2)
			is.Equal(a.Outcome, state.Complete)
			time.Sleep(between)
		}
		is.True(f.report("log well", last) < limit)
		last = state.Version(f.log.Appends("declarations"))
		for i := range 10 {
			f.log.SetFaults(logserver.Faults{LoseNextReplies: 1})
			a := f.procs[i%2].apply(operator(i), 3)
			is.Equal(a.Outcome, state.Complete)
			time.Sleep(between)
		}
		is.True(f.report("every reply lost", last) < limit)
	})
}

// Every request to the log takes a second, then three. A change that finds
// processes waiting in a poll reaches them at once; another half a second later
// finds their next polls on the way.
func TestInForceWithASlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, end, last := settled(t)
		defer end()
		for _, delay := range []time.Duration{time.Second, 3 * time.Second} {
			f.log.SetFaults(logserver.Faults{DelayMS: delay.Milliseconds()})
			time.Sleep(between)
			for i := range 3 {
				f.work.Go(func() { f.procs[0].apply(operator(2*i), 10+i) })
				time.Sleep(500 * time.Millisecond)
				a := f.procs[1].apply(operator(2*i+1), 10+i)
				is.Equal(a.Outcome, state.Complete)
				time.Sleep(between)
			}
			is.True(f.report(fmt.Sprintf("every request takes %v more", delay), last) < limit)
			last = state.Version(f.log.Appends("declarations"))
		}
	})
}

// The log is out of service for a while, and changes come the moment it is back,
// when processes still pause between their tries. Before that an apply is
// refused for certain.
func TestInForceAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, end, last := settled(t)
		defer end()
		for i, length := range []time.Duration{10 * time.Second, 5 * time.Minute} {
			f.log.SetFaults(logserver.Faults{Outage: true})
			time.Sleep(length)
			is.Equal(f.procs[0].apply(operator(i), 20).Reason, state.ReasonLogUnavailable)
			f.log.SetFaults(logserver.Faults{})
			is.Equal(f.procs[0].apply(operator(i), 21+i).Outcome, state.Complete)
			time.Sleep(between)
		}
		is.True(f.report("the moment an outage ends", last) < limit)
	})
}

// One process of all reads everything 10 s late. One comparison of what all say
// names it, and nobody else.
func TestLateReaderIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, end, _ := settled(t)
		defer end()
		late := *processes / 2
		f.procs[late].late.Store(int64(10 * time.Second))
		time.Sleep(time.Minute)
		is.Equal(f.procs[0].apply(operator(0), 30).Outcome, state.Complete)
		time.Sleep(8 * time.Second) // it hasn't read the change yet
		f.onlyLate(is, f.procs[late].id)
		time.Sleep(30 * time.Second) // it has
		f.onlyLate(is, f.procs[late].id)
	})
}

// onlyLate checks whom an entry calls late by what all processes say.
func (f *fleet) onlyLate(is *is.I, id state.NodeID) {
	now := time.Now()
	var said []declare.Reading
	for _, p := range f.procs[1:] {
		pos := p.machine.Position(now)
		said = append(said, declare.Reading{ID: p.id, Offset: pos.Next - 1, At: now.Add(-pos.Age), Said: now})
	}
	lags := f.procs[0].machine.Lags(now, said)
	is.Equal(lags[0].ID, id)
	is.True(lags[0].Late())
	f.t.Logf("%s is late by %v and %d records, the next one by %v", lags[0].ID, lags[0].Lag, lags[0].Behind, lags[1].Lag)
	is.True(!lags[1].Late())
}
