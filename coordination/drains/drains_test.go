package drains

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work that goes to a drained domain again because a process that has lost
// the store still tells of the time before the drain.
func TestOlderStateChangesNothing(t *testing.T) {
	is := is.New(t)
	var b Book
	is.True(b.Told(time.Minute, State{Position: 9, Domains: []string{"iksan"}}, 0))
	is.True(!b.Told(time.Minute, State{Position: 8}, 0))
	is.True(b.State().Has("iksan"))
	is.True(b.Told(time.Minute, State{Position: 10}, 0))
	is.True(!b.State().Has("iksan"))
}

// Guards against a state that passes for fresh because it was told again by a process that
// has not heard from the store since.
func TestToldAgainIsNoConfirmation(t *testing.T) {
	is := is.New(t)
	var b Book
	b.Told(time.Minute, State{Position: 5}, 2*time.Second)
	b.Told(time.Minute+time.Second, State{Position: 5}, 4*time.Second)
	_, age := b.Latest(time.Minute + time.Second)
	is.Equal(age, 3*time.Second)
	b.Told(time.Minute+time.Second, State{Position: 5}, 500*time.Millisecond)
	_, age = b.Latest(time.Minute + time.Second)
	is.Equal(age, 500*time.Millisecond)
}

// Guards against a process that knows nothing ending drains that others know of.
func TestNothingKnownEndsNoDrain(t *testing.T) {
	is := is.New(t)
	var b Book
	b.Told(time.Minute, State{Position: 5, Domains: []string{"iksan"}}, 0)
	is.True(!b.Told(time.Minute, State{}, 0))
	is.True(b.State().Has("iksan"))
}

// Guards against a drain that never ends for a reader whose records of its end were dropped
// from the store's history.
func TestDrainThatEndedUnread(t *testing.T) {
	is := is.New(t)
	var b Book
	r := NewReader(&b)
	r.Begin()
	r.Apply(Change{Domain: "iksan", Drained: true})
	r.Apply(Change{Domain: "gunsan", Drained: true})
	is.True(r.Reached(time.Minute, 4))
	r.Begin()
	r.Apply(Change{Domain: "gunsan", Drained: true})
	is.True(r.Reached(time.Minute, 9))
	is.Equal(b.State().Domains, []string{"gunsan"})
}

// Guards against a reader that lags behind what its process was told, and would undo it.
func TestReaderBehindItsBook(t *testing.T) {
	is := is.New(t)
	var b Book
	r := NewReader(&b)
	b.Told(time.Minute, State{Position: 7, Domains: []string{"iksan"}}, 0)
	r.Begin()
	is.True(!r.Reached(time.Minute, 6))
	is.True(b.State().Has("iksan"))
	r.Apply(Change{Domain: "iksan", Drained: true})
	is.True(!r.Reached(time.Minute, 7))
	r.Apply(Change{Domain: "iksan"})
	is.True(r.Reached(time.Minute, 8))
	is.Equal(len(b.State().Domains), 0)
}

// A domain that is drained and taken back again and again in quick succession is as its
// newest record says.
func TestDrainsInQuickSuccession(t *testing.T) {
	is := is.New(t)
	var b Book
	r := NewReader(&b)
	r.Begin()
	for i := range int64(20) {
		r.Apply(Change{Domain: "iksan", Drained: i%2 == 0})
		r.Reached(time.Minute, i+1)
		is.Equal(b.State().Has("iksan"), i%2 == 0)
	}
}
