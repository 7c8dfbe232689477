package guard

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// A paused home has a submission in its socket. Its caller comes through another
// entry, whose attempt the witness bars, and hears "not run". The home goes on
// and asks for the first submission: the witness must refuse, though it never
// heard of that attempt. What the caller submits after that is refused once, with
// the fence, and then granted.
func TestNotRunCoversEarlierAttempts(t *testing.T) {
	is := is.New(t)
	s := newScript(5)
	key := jobKey(1)
	p := s.pair(key)
	w := s.nodes[p.Witness]
	s.do(w, w.Handle(s.now, entry, message.Bar{Key: key, Attempt: "second", Epoch: p.Epoch}))
	is.True(s.bar["second"][0].Barred)

	s.claim(p.Home, key, 1, "first", p.Epoch)
	s.settle()
	d, granted := s.last("first")
	is.True(!granted)
	is.Equal(d.Outcome, state.NotRun)
	is.Equal(d.Reason, state.ReasonBarred)

	h := s.nodes[p.Home]
	s.do(h, h.Claim(s.now, key, digest(1), "anew", p.Epoch, d.Fence))
	s.settle()
	_, granted = s.last("anew")
	is.True(granted)
}

// A home gave an attempt up because its witness was silent, and the caller heard
// "not run". An earlier submission by another entry arrives at the home only now.
func TestHomesNotRunCoversEarlierAttempts(t *testing.T) {
	is := is.New(t)
	s := newScript(5)
	key := jobKey(1)
	p := s.pair(key)
	s.nodes[p.Witness].held = true
	s.claim(p.Home, key, 1, "second", p.Epoch)
	s.settle()
	d, _ := s.last("second")
	is.Equal(d.Reason, state.ReasonHomeUnreachable)
	s.nodes[p.Witness].held = false
	s.claim(p.Home, key, 1, "first", p.Epoch)
	s.settle()
	_, granted := s.last("first")
	is.True(!granted)
}

// Fences are given back: when nothing older can arrive, and with their epoch.
func TestFencesAreForgotten(t *testing.T) {
	is := is.New(t)
	s := newScript(5)
	key := jobKey(1)
	p := s.pair(key)
	w := s.nodes[p.Witness]
	bar := message.Bar{Key: key, Attempt: "barred", Epoch: p.Epoch}
	s.do(w, w.Handle(s.now, entry, bar))
	is.Equal(w.Stats().Fences, 1)
	s.now = s.now.Add(w.keep)
	for range 128 {
		w.sweep(s.now)
	}
	is.Equal(w.Stats().Fences, 0)
	bar.Attempt = "again"
	s.do(w, w.Handle(s.now, entry, bar))
	is.Equal(w.Stats().Fences, 1)
	s.evict(p.Home)
	is.Equal(w.Stats().Fences, 0)
}
