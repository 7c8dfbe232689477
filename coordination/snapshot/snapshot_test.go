package snapshot

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/store"
)

const (
	now   = time.Hour
	bound = 2 * time.Second
)

// at returns a state with one record.
func at(position int64, age time.Duration, value string) *State {
	return &State{Position: position, Age: age, Records: []store.Record{{Key: "config", Value: []byte(value)}}}
}

func value(c *Copy) string {
	s, ok := c.State(now)
	if !ok || len(s.Records) == 0 {
		return ""
	}
	return string(s.Records[0].Value)
}

// Guards against a process that goes back to an older configuration because the second peer to
// answer knows less than the first.
func TestOlderStateChangesNothing(t *testing.T) {
	is := is.New(t)
	var c Copy
	is.Equal(c.Offer(now, at(7, time.Second, "new"), bound), Applied)
	is.Equal(c.Offer(now, at(6, 0, "old"), bound), Older)
	is.Equal(value(&c), "new")
	is.True(!c.ConfirmedWithin(now+bound, bound)) // the older state has not renewed the newer one
}

// Guards against a peer that has lost the store too, and whose state nobody has confirmed for too
// long.
func TestExpiredStateIsNotTaken(t *testing.T) {
	is := is.New(t)
	var c Copy
	is.Equal(c.Offer(now, at(7, bound, "stale"), bound), Expired)
	is.True(!c.ConfirmedWithin(now, bound))
	is.Equal(value(&c), "")
}

// Guards against a state that stays in force although nobody hears from the store any more: the
// time counts from the store's word, not from when the peer told it.
func TestToldStateHoldsUntilTheBound(t *testing.T) {
	is := is.New(t)
	var c Copy
	c.Offer(now, at(7, 1500*time.Millisecond, "told"), bound)
	is.True(c.ConfirmedWithin(now+400*time.Millisecond, bound))
	is.True(!c.ConfirmedWithin(now+500*time.Millisecond, bound))
	is.Equal(c.Offer(now+400*time.Millisecond, at(7, 100*time.Millisecond, ""), bound), Confirmed)
	is.True(c.ConfirmedWithin(now+2200*time.Millisecond, bound))
	is.Equal(value(&c), "told")
	is.Equal(c.Offer(now+500*time.Millisecond, at(7, 1900*time.Millisecond, ""), bound), Confirmed)
	is.True(c.ConfirmedWithin(now+2200*time.Millisecond, bound)) // an older word shortens nothing
}

// Guards against a peer that overrules the store, or that ends what was read there.
func TestStoreIsNotOverruled(t *testing.T) {
	is := is.New(t)
	var c Copy
	c.Offer(now, at(9, 0, "told"), bound)
	c.Replace(now, at(8, 0, "read").Records, 8)
	is.Equal(value(&c), "read")
	is.Equal(c.Offer(now, at(10, 0, "told"), bound), Superseded)
	is.Equal(value(&c), "read")
	is.True(c.Read())
	is.True(c.ConfirmedWithin(now+bound-1, bound))
	is.True(!c.ConfirmedWithin(now+bound, bound)) // nobody takes it from then on
}

// Guards against an age that starts anew with each process that passes a state on.
func TestAgeTravelsWithTheState(t *testing.T) {
	is := is.New(t)
	var c Copy
	c.Offer(now, at(7, time.Second, "told"), bound)
	s, ok := c.State(now + 300*time.Millisecond)
	is.True(ok)
	is.Equal(s.Age, 1300*time.Millisecond)
}

// Guards against a copy that lacks a record or keeps a deleted one.
func TestCopyFollowsTheStore(t *testing.T) {
	is := is.New(t)
	var c Copy
	_, ok := c.State(now)
	is.True(!ok)
	c.Replace(now, []store.Record{{Key: "b", Value: []byte("1")}, {Key: "a", Value: []byte("2")}}, 5)
	c.Extend(now+time.Second, []store.Record{{Key: "b"}, {Key: "c", Value: []byte("3")}}, 5, 7)
	c.Extend(now+time.Second, []store.Record{{Key: "lost"}}, 9, 10) // a read from elsewhere
	s, ok := c.State(now + time.Second)
	is.True(ok)
	is.NoErr(s.Check())
	is.Equal(s, State{Position: 7, Records: []store.Record{{Key: "a", Value: []byte("2")}, {Key: "c", Value: []byte("3")}}})
}

// Guards against an answer that can't be true and would be taken or never end.
func TestMalformedStateChangesNothing(t *testing.T) {
	is := is.New(t)
	record := store.Record{Key: "a", Value: []byte("1")}
	for name, s := range map[string]*State{
		"no position":       {},
		"negative position": {Position: -1},
		"negative age":      {Position: 1, Age: -1},
		"no key":            {Position: 1, Records: []store.Record{{Value: []byte("1")}}},
		"repeated key":      {Position: 1, Records: []store.Record{record, record}},
		"no value":          {Position: 1, Records: []store.Record{{Key: "a"}}},
	} {
		var c Copy
		t.Log(name)
		is.Equal(c.Offer(now, s, bound), Malformed)
		is.True(!c.ConfirmedWithin(now, bound))
	}
}
