package dev

import (
	"fmt"
	"sync"
	"testing"

	"github.com/shallotstep/shallotstep/platform/standin"
	"github.com/shallotstep/shallotstep/state"
)

// awaitDrained waits until exactly these failure domains are drained at the first entry.
func (d *testSystem) awaitDrained(domains ...string) {
	d.t.Helper()
	d.await("the drains are in force", func() bool {
		s, f := d.client.Status(d.ctx())
		return f == nil && fmt.Sprint(s.DrainedDomains) == fmt.Sprint(domains)
	})
}

// Guards against starting tasks in a failure domain that an operator has drained at the
// project's own interface, and against a drain that can't be ended or that is missing from
// the history.
func TestDrainByCommand(t *testing.T) {
	d := newTestSystem(t)
	set, f := d.client.SetDrain(d.ctx(), "iksan", true)
	d.is.True(f == nil)
	d.is.Equal(set.Version, state.Version(1))
	d.awaitDrained("iksan")
	again, f := d.client.SetDrain(d.ctx(), "iksan", true)
	d.is.True(f == nil)
	d.is.Equal(again.Version, state.Version(1)) // draining again changes nothing
	before := d.BackendServers()[1].Starts()
	for i := range 5 {
		_, f := d.client.SubmitWithRetry(d.ctx(), d.job(fmt.Sprint("drained-", i), 30, 5, ""), 100)
		d.is.True(f == nil)
	}
	d.is.Equal(d.BackendServers()[1].Starts(), before)
	_, f = d.client.SetDrain(d.ctx(), "iksan", false)
	d.is.True(f == nil)
	d.awaitDrained()
	tries := 0
	d.await("the domain is used again", func() bool {
		tries++
		_, f := d.client.SubmitWithRetry(d.ctx(), d.job(fmt.Sprint("back-", tries), 40, 5, ""), 100)
		return f == nil && d.BackendServers()[1].Starts() > before
	})
	h, f := d.client.DrainHistory(d.ctx(), "iksan")
	d.is.True(f == nil)
	d.is.Equal(len(h.Entries), 2)
	d.is.True(h.Entries[0].Drained)
	d.is.True(!h.Entries[1].Drained)
}

// Guards against accepting a drain of a misspelt failure domain, and against refusing to end
// a drain that isn't in force.
func TestDrainOfAnUnknownDomain(t *testing.T) {
	d := newTestSystem(t)
	_, f := d.client.SetDrain(d.ctx(), "iksann", true)
	d.is.Equal(f.Problem.Reason, state.ReasonUnknownDomain)
	d.is.Equal(f.Outcome, state.NotRun)
	set, f := d.client.SetDrain(d.ctx(), "iksan", false)
	d.is.True(f == nil)
	d.is.Equal(set.Version, state.Version(0))
}

// Guards against concurrent drains by two operators, of which one overwrites the other.
func TestRaceOfDrains(t *testing.T) {
	d := newTestSystem(t)
	var wg sync.WaitGroup
	for _, domain := range []string{"iksan", "gunsan"} {
		wg.Go(func() {
			if _, f := d.client.SetDrain(d.ctx(), domain, true); f != nil {
				d.t.Error(f)
			}
		})
	}
	wg.Wait()
	d.awaitDrained("gunsan", "iksan")
}

// Guards against reporting the outcome of a drain as complete while the store's responses
// are lost, and against a later retry that fails.
func TestDrainWithoutTheStore(t *testing.T) {
	d := newTestSystem(t)
	d.Store().SetFault("entry", standin.DropResponses)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, f := d.client.SetDrain(d.ctx(), "iksan", true)
		if f != nil && f.Outcome == state.Complete {
			d.t.Error(f)
		}
	}()
	<-done
	d.Store().SetFault("entry", standin.NoFault)
	_, f := d.client.SetDrain(d.ctx(), "iksan", true)
	d.is.True(f == nil)
	d.awaitDrained("iksan")
}
