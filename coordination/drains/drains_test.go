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
	var b Book
	is.True(b.Told(time.Minute, State{Position: 9, Domains: []string{"iksan"}}, 0))
	is.True(!b.Told(time.Minute, State{Position: 8}, 0))
	is.True(b.State().Has("iksan"))
	is.True(b.Told(time.Minute, State{Position: 10}, 0))
	is.True(!b.State().Has("iksan"))
}

// A process that has lost the store keeps sending the state it knows. Its frames must not make
// that state look recently confirmed by the store.
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

// A process that knows no state yet must not end drains that others know of.
func TestNothingKnownEndsNoDrain(t *testing.T) {
	is := is.New(t)
	var b Book
	b.Told(time.Minute, State{Position: 5, Domains: []string{"iksan"}}, 0)
	is.True(!b.Told(time.Minute, State{}, 0))
	is.True(b.State().Has("iksan"))
}

// The record that ended a drain was dropped from the store's history before it was read. The
// drain must end for this reader as well.
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

// A reader lags behind a state that its process received from a peer. It must not overwrite the
// newer state.
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

// A domain is drained and undrained many times in quick succession. Its newest record decides
// its state each time.
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
