package drains

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A process that has lost the store may still send the state from before a drain. Accepting it
// would send work to the drained domain again.
func TestOlderStateChangesNothing(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	is.True(tracker.Update(time.Minute, State{Position: 9, Domains: []string{"iksan"}}, 0))
	is.True(!tracker.Update(time.Minute, State{Position: 8}, 0))
	is.True(tracker.State().Has("iksan"))
	is.True(tracker.Update(time.Minute, State{Position: 10}, 0))
	is.True(!tracker.State().Has("iksan"))
}

// A process that has lost the store keeps sending the state it knows. Its frames must not make
// that state look recently confirmed by the store.
func TestRelayedStateIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	tracker.Update(time.Minute, State{Position: 5}, 2*time.Second)
	tracker.Update(time.Minute+time.Second, State{Position: 5}, 4*time.Second)
	_, age := tracker.Latest(time.Minute + time.Second)
	is.Equal(age, 3*time.Second)
	tracker.Update(time.Minute+time.Second, State{Position: 5}, 500*time.Millisecond)
	_, age = tracker.Latest(time.Minute + time.Second)
	is.Equal(age, 500*time.Millisecond)
}

// A process that knows no state yet must not end drains that others know of.
func TestEmptyStateEndsNoDrain(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	tracker.Update(time.Minute, State{Position: 5, Domains: []string{"iksan"}}, 0)
	is.True(!tracker.Update(time.Minute, State{}, 0))
	is.True(tracker.State().Has("iksan"))
}

// The record that ended a drain was dropped from the store's history before it was read. The
// drain must end for this process as well.
func TestDrainEndMissingFromHistory(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	r := NewReplayer(&tracker)
	r.Reset()
	r.Apply(Change{Domain: "iksan", Drained: true})
	r.Apply(Change{Domain: "gunsan", Drained: true})
	is.True(r.Publish(time.Minute, 4))
	r.Reset()
	r.Apply(Change{Domain: "gunsan", Drained: true})
	is.True(r.Publish(time.Minute, 9))
	is.Equal(tracker.State().Domains, []string{"gunsan"})
}

// A replayer lags behind a state that its process received from a peer. It must not overwrite
// the newer state.
func TestReplayerBehindItsTracker(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	r := NewReplayer(&tracker)
	tracker.Update(time.Minute, State{Position: 7, Domains: []string{"iksan"}}, 0)
	r.Reset()
	is.True(!r.Publish(time.Minute, 6))
	is.True(tracker.State().Has("iksan"))
	r.Apply(Change{Domain: "iksan", Drained: true})
	is.True(!r.Publish(time.Minute, 7))
	r.Apply(Change{Domain: "iksan"})
	is.True(r.Publish(time.Minute, 8))
	is.Equal(len(tracker.State().Domains), 0)
}

// A domain is drained and undrained many times in quick succession. Its newest record decides
// its state each time.
func TestDrainsInQuickSuccession(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	r := NewReplayer(&tracker)
	r.Reset()
	for i := range int64(20) {
		r.Apply(Change{Domain: "iksan", Drained: i%2 == 0})
		r.Publish(time.Minute, i+1)
		is.Equal(tracker.State().Has("iksan"), i%2 == 0)
	}
}
