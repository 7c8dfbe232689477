package guard

import (
	"slices"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

func (w *world) onVerdict(at state.NodeID, a coordination.Action) {
	switch a := a.(type) {
	case coordination.Granted:
		t := w.byID[a.Attempt]
		t.verdicts[at]++
		w.onGranted(t, at)
	case coordination.Denied:
		t := w.byID[a.Attempt]
		t.verdicts[at]++
		if t.verdicts[at] > t.calls[at] {
			w.fail("%s: %s gave more verdicts than it was asked for", a.Attempt, at)
		}
		if a.Outcome == state.NotRun {
			w.notRun(t, "denied "+string(a.Reason))
			switch a.Reason {
			case state.ReasonClaimsUnknown, state.ReasonStaleEpoch, state.ReasonLogUnavailable: // the entry says "unknown"
			case state.ReasonIDConflict, state.ReasonBarred:
				// It says so of this content only; it makes a new attempt, or goes by
				// the BarReply.
				w.ranBefore(t, at, "denied "+string(a.Reason))
			default:
				w.ranBefore(t, at, "denied "+string(a.Reason))
				w.mayNotRun(t)
			}
		}
		w.learn(a)
		first := len(t.verdicts) == 1 && t.verdicts[at] == 1 // later ones repeat it
		if a.Reason == state.ReasonIDConflict && a.Outcome == state.NotRun && first && w.wasGranted(t) {
			w.fail("%s: other content was called a conflict, but this content was granted", a.Attempt)
		}
	}
}

// learn takes in an id's fence as an entry does.
func (w *world) learn(a coordination.Denied) {
	f := w.fences[a.Key]
	if a.Epoch > f.epoch {
		f = told{epoch: a.Epoch}
	}
	if a.Epoch == f.epoch {
		f.fence = f.fence.Join(a.Fence)
	}
	w.fences[a.Key] = f
}

func (w *world) wasGranted(t *try) bool {
	return slices.ContainsFunc(w.grants[t.submit.Job.Key], func(g grant) bool {
		return g.digest == t.submit.Digest && w.now.Sub(g.at) < modelRetention
	})
}

func (w *world) onGranted(t *try, at state.NodeID) {
	key := t.submit.Job.Key
	w.granted++
	if t.granted || t.notRun {
		w.fail("%s granted by %s after granted=%v notRun=%v", t.submit.Attempt, at, t.granted, t.notRun)
	}
	for _, g := range w.grants[key] {
		if w.now.Sub(g.at) < modelRetention {
			w.fail("%v granted twice, by %s for %s", key, at, t.submit.Attempt)
		}
	}
	for _, r := range w.refused[key] {
		if t.number < r.tries && t.submit.Epoch <= r.epoch {
			w.fail("%s granted by %s after its id was called not run at epoch %d", t.submit.Attempt, at, r.epoch)
		}
	}
	t.granted = true
	w.grants[key] = append(w.grants[key], grant{w.now, t.submit.Digest, t.submit.Epoch})
}

func (w *world) onBarReply(at state.NodeID, r message.BarReply) {
	t := w.byID[r.Attempt]
	t.barReplies++
	if !r.Barred {
		return
	}
	if !t.unsent {
		w.notRun(t, "barred by "+string(at))
	}
	if r.Reason != state.ReasonClaimsUnknown {
		w.ranBefore(t, at, "barred for certain by "+string(at))
		if !t.unsent {
			w.mayNotRun(t)
		}
	}
}

// mayNotRun notes that a caller may be told "not run" of the attempt's id: then no
// attempt that was made by now, by whichever entry, may be granted any more at the
// same epoch or an earlier one. The same word once more is of the first time.
func (w *world) mayNotRun(t *try) {
	if t.refused {
		return
	}
	t.refused = true
	key := t.submit.Job.Key
	w.refused[key] = append(w.refused[key], refusal{len(w.tries), t.submit.Epoch})
}

// ranBefore fails if the same content was granted at an epoch that the one who
// says "no" has heard of, or the attempt's at least: the entry passes a certain
// "no" on as an answer about the id, another submission of which has run.
func (w *world) ranBefore(t *try, at state.NodeID, why string) {
	last := max(t.submit.Epoch, w.nodes[at].shares[roster.ShareOf(t.submit.Job.Key)].pair.Epoch)
	for _, g := range w.grants[t.submit.Job.Key] {
		if g.digest == t.submit.Digest && g.epoch <= last && w.now.Sub(g.at) < modelRetention {
			w.fail("%s at epoch %d: %s, but its id was granted at epoch %d", t.submit.Attempt, t.submit.Epoch, why, g.epoch)
		}
	}
}

func (w *world) notRun(t *try, why string) {
	if t.granted {
		w.fail("%s: %s, but it was granted", t.submit.Attempt, why)
	}
	t.notRun = true
}

// heal mends everything and lets it come to rest.
func (w *world) heal() {
	w.outage = false
	for _, n := range w.alive() {
		n.cut, n.noLog, n.held = 0, false, false
	}
	for range 3 {
		w.readAll()
		w.settle()
	}
	for _, t := range w.tries {
		if t.bars != t.barReplies {
			w.fail("%s: %d bars arrived and had %d answers", t.submit.Attempt, t.bars, t.barReplies)
		}
		for id, calls := range t.calls {
			if !w.nodes[id].dead && (calls == 0) != (t.verdicts[id] == 0) {
				w.fail("%s got no verdict from %s", t.submit.Attempt, id)
			}
		}
	}
}

// expire lets every claim expire and checks that memory is given back and that
// every share that has a living pair opens again.
func (w *world) expire() {
	for _, m := range w.truth().Members() {
		if w.nodes[m.ID].dead {
			w.append(roster.Evict{NodeID: m.ID, By: "model"})
		}
	}
	for range 8 {
		w.readAll()
		w.settle()
		w.pass(modelBlind / 2)
	}
	for _, n := range w.alive() {
		for range roster.Shares / sweepShares {
			n.sweep(w.now)
		}
		if st := n.Stats(); st.Claims.Bytes+st.Asks+st.Closed+st.Fences+st.Gaps > 0 {
			w.fail("%s still holds %+v", n.self, st)
		}
	}
	for _, k := range modelKeys() {
		t := w.submitAt(w.pair(k), k, 0)
		w.settle()
		if t.pair.OK && !t.granted && !w.variant.oneID {
			w.fail("%v stays closed for %v", k, t.pair)
		}
	}
}
