package guard

import (
	"fmt"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

func (w *world) send(to state.NodeID, m message.Message) {
	w.net = append(w.net, envelope{entry, to, m, w.now})
}

// submit sends a new attempt to the home that some node's roster names.
func (w *world) submit() {
	view := w.pick().Roster()
	key := modelKeys()[w.IntN(len(modelKeys()))]
	w.submitAt(view.Pair(region, roster.ShareOf(key)), key, byte(w.IntN(8)/7))
}

func (w *world) submitAt(p roster.Pair, key state.JobKey, d byte) *try {
	t := w.newTry(p, key, d)
	w.send(p.Home, t.submit)
	return t
}

func (w *world) newTry(p roster.Pair, key state.JobKey, d byte) *try {
	t := &try{made: w.now, pair: p, calls: make(map[state.NodeID]int), verdicts: make(map[state.NodeID]int)}
	t.submit = message.Submit{
		Job: state.Job{Key: key}, Digest: digest(d), Epoch: p.Epoch,
		Attempt: message.Attempt(fmt.Sprint("try-", len(w.tries))),
	}
	t.number = len(w.tries)
	if !w.former && w.IntN(2) == 0 { // an entry that was told of the last fence
		if f := w.fences[key]; f.epoch == p.Epoch {
			t.submit.Fence = f.fence
		}
	}
	w.tries = append(w.tries, t)
	w.byID[t.submit.Attempt] = t
	return t
}

// inquire asks a witness about an id, for an attempt that is never sent.
func (w *world) inquire() {
	key := modelKeys()[w.IntN(len(modelKeys()))]
	p := w.pick().Roster().Pair(region, roster.ShareOf(key))
	t := w.newTry(p, key, 0)
	t.unsent = true
	w.send(p.Witness, message.Bar{Key: key, Attempt: t.submit.Attempt, Epoch: p.Epoch, Unsent: true})
}

// again sends an attempt's submission once more, perhaps to the wrong node.
func (w *world) again() {
	if len(w.tries) == 0 {
		return
	}
	t := w.recentTry()
	if t.unsent {
		return
	}
	to := t.pair.Home
	if w.IntN(4) == 0 {
		to = w.pick().self
	}
	w.send(to, t.submit)
}

func (w *world) recentTry() *try {
	recent := w.tries[max(0, len(w.tries)-6):]
	return recent[w.IntN(len(recent))]
}

func (w *world) bar() {
	if len(w.tries) == 0 {
		return
	}
	t := w.recentTry()
	to := [2]state.NodeID{t.pair.Home, t.pair.Witness}[w.IntN(2)]
	w.send(to, message.Bar{Key: t.submit.Job.Key, Attempt: t.submit.Attempt, Epoch: t.submit.Epoch, Unsent: t.unsent})
}

// arrive delivers one message out of order; it may be lost or come twice.
func (w *world) arrive() {
	if len(w.net) == 0 {
		return
	}
	i := w.IntN(len(w.net))
	e := w.net[i]
	if n := w.nodes[e.to]; n != nil && n.held && !n.dead {
		return // it waits for the paused node
	}
	if w.IntN(5) > 0 {
		w.net = slices.Delete(w.net, i, i+1)
	}
	if w.IntN(12) == 0 {
		return
	}
	w.deliver(e)
}

// tooOld drops old messages, and what comes of an attempt that its entry gave
// up long ago: the package relies on that.
func (w *world) tooOld(e envelope) bool {
	if w.now.Sub(e.sent) >= modelRetention {
		return true
	}
	var a message.Attempt
	switch m := e.msg.(type) {
	case message.Submit:
		a = m.Attempt
	case message.Bar:
		a = m.Attempt
	}
	t := w.byID[a]
	return t != nil && w.now.Sub(t.made) >= modelRetention
}

func (w *world) read() {
	if n := w.pick(); !w.outage && !n.noLog && !n.held {
		w.readOne(n)
	}
}

// step makes one thing happen.
func (w *world) step() {
	x := w.IntN(200)
	if !w.former && w.newStep(x) {
		w.after()
		return
	}
	switch {
	case x < 30:
		w.submit()
	case x < 42:
		w.again()
	case x < 56:
		w.bar()
	case x < 110:
		w.arrive()
	case x < 140:
		w.read()
	case x < 160:
		w.pass(time.Duration(1+w.IntN(20)) * time.Millisecond)
	case x < 164:
		w.pass(time.Duration(1+w.IntN(4)*w.IntN(12)) * time.Second)
	case x < 165:
		n := w.pick()
		w.do(n, n.PeerGone(w.now, w.pick().self))
	case x < 170:
		w.pick().cut = w.IntN(2)
	case x < 173:
		n := w.pick()
		n.noLog = !n.noLog
	case x < 174:
		w.outage = !w.outage
	case x < 177:
		n := w.pick()
		n.held = !n.held
	case x < 183:
		w.evict()
	case x < 188:
		w.join(0)
	case x < 190:
		if n := w.nodes[w.pickMember()]; n != nil {
			n.dead = true
		}
	case x < 192:
		w.leave()
	case x < 193:
		w.confirmLost()
	case x < 194:
		w.append(w.truth().Snapshot())
		w.join(len(w.log) - 1)
	case x < 198:
		w.strand()
	case x < 199:
		w.overtake()
	default:
		w.readAll()
	}
	w.after()
}

// newStep makes one of the steps that came later happen.
func (w *world) newStep(x int) bool {
	switch x {
	case 41:
		w.inquire()
	case 196:
		w.linger()
	case 197:
		w.supplant()
	default:
		return false
	}
	return true
}

func (w *world) after() {
	w.arrive()
	w.arrive()
	w.exitHandedOver()
}

// supplant has a witness record a claim that is never granted, be cut off and
// evicted, and be asked for content that the pair after it was granted.
func (w *world) supplant() {
	key := modelKeys()[w.IntN(2)]
	p := w.pair(key)
	if !p.OK || len(w.truth().Members()) < 4 {
		return
	}
	first := w.submitAt(p, key, 1)
	w.carry(first)
	n := w.nodes[p.Witness]
	n.cut, n.noLog = 2, true
	w.append(roster.Evict{NodeID: p.Witness, By: "model"})
	w.readAll()
	w.carry(w.submitAt(w.pair(key), key, 0))
	w.hurry(func(m message.Message) bool { r, ok := m.(message.ClaimReply); return ok && r.Key == key && r.Granted })
	late := w.newTry(p, key, 0)
	w.send(p.Witness, late.submit)
	w.hurry(func(m message.Message) bool {
		s, ok := m.(message.Submit)
		return ok && s.Attempt == late.submit.Attempt
	})
}

// linger has a pair be evicted that reaches everybody but hears nothing of it. Its
// successors pull from it, and only then does it grant an id at its epoch.
func (w *world) linger() {
	key := modelKeys()[w.IntN(2)]
	p := w.pair(key)
	if !p.OK || len(w.truth().Members()) < 4 {
		return
	}
	for _, id := range []state.NodeID{p.Home, p.Witness} {
		w.nodes[id].noLog, w.nodes[id].cut = true, 0
		w.append(roster.Evict{NodeID: id, By: "model"})
	}
	w.readAll()
	for range 16 {
		w.exchange(func(e envelope) bool { return p.Has(e.to) && isNews(e.msg) })
		w.pass(settleStep)
	}
	for _, at := range []roster.Pair{p, w.pair(key)} {
		w.carry(w.submitAt(at, key, 0))
		w.hurry(func(m message.Message) bool { r, ok := m.(message.ClaimReply); return ok && r.Key == key })
	}
}

func isNews(m message.Message) bool {
	_, ok := m.(message.RosterReply)
	return ok
}

// exchange delivers what is on its way, but for what is lost.
func (w *world) exchange(lost func(envelope) bool) {
	sent := w.net
	w.net = nil
	for _, e := range sent {
		if !lost(e) {
			w.deliver(e)
		}
	}
}

// carry has an attempt reach its home, and the home's ask the witness.
func (w *world) carry(t *try) {
	w.hurry(func(m message.Message) bool { s, ok := m.(message.Submit); return ok && s.Attempt == t.submit.Attempt })
	w.hurry(func(m message.Message) bool {
		a, ok := m.(message.ClaimAsk)
		return ok && a.Attempt == t.submit.Attempt
	})
}

func (w *world) exitHandedOver() {
	for _, n := range w.alive() {
		if n.leaving && n.HandedOver() {
			n.dead = true
		}
	}
}
