package home

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

const (
	// handOverFor is how long an answer is offered to its new home. A planned
	// stop waits no longer for it.
	handOverFor = 5 * time.Second
	// The pause before an answer is sent again doubles from the first to the
	// last of these. A new home that has yet to pull the claims needs a few
	// round trips.
	handOverPauseFirst = 50 * time.Millisecond
	handOverPauseMax   = 400 * time.Millisecond
	// handOverBatch bounds the answers in one message, in bytes, unless it holds
	// a single one. handOverBurst bounds what a service sends at one time.
	handOverBatch = 64 << 10
	handOverBurst = 1 << 20
)

// transfer is an answer on its way to the present home of its job.
type transfer struct {
	j *job
	// to is where it was sent last.
	to    state.NodeID
	until time.Time
	next  time.Time
	pause time.Duration
	// ended: there is nothing left to do.
	ended bool
}

// Leave has every stored answer sent to the present home of its job, and those
// that are still to come. Call it when this node's leave is in force.
//
// Without it the answers would be lost with this process: whoever submits a
// finished job again would hear that it may have run, and no more.
func (h *Home) Leave(now time.Time) {
	if h.left.Swap(true) {
		return
	}
	h.each(func(p *pool) []coordination.Action {
		p.leaving = true
		p.queueStored(now, func(*job) bool { return true })
		return nil
	})
}

// HomesMoved says that jobs may have another home than before. Claims lead to
// this node for the answers to its own jobs, but not for those that it was
// handed: they have to follow the job's home.
func (h *Home) HomesMoved(now time.Time) {
	h.each(func(p *pool) []coordination.Action {
		p.queueStored(now, func(j *job) bool {
			return j.holder != "" && p.homeOf(j) != "" && p.homeOf(j) != j.movedTo
		})
		return nil
	})
}

// HandedOver reports, after Leave, whether each stored answer has been
// acknowledged by its job's present home or offered for long enough.
func (h *Home) HandedOver() bool {
	if !h.left.Load() {
		return false
	}
	done := true
	h.each(func(p *pool) []coordination.Action {
		done = done && len(p.transfers) == 0
		return nil
	})
	return done
}

// homeOf returns the job's present home, or "" if it has none but this node.
func (p *pool) homeOf(j *job) state.NodeID {
	if p.o.HomeOf == nil {
		return ""
	}
	if id := p.o.HomeOf(j.key); id != p.o.Self {
		return id
	}
	return ""
}

// queueStored begins the transfer of the stored answers that are chosen, the
// newest first.
func (p *pool) queueStored(now time.Time, chosen func(*job) bool) {
	for i := len(p.stored) - 1; i >= 0; i-- {
		if chosen(p.stored[i]) {
			p.queue(now, p.stored[i])
		}
	}
}

func (p *pool) queue(now time.Time, j *job) {
	if j.transfer != nil || j.lacksResults() {
		return
	}
	if j.answer.Outcome == state.NotRun {
		j.neverRuns()
	}
	j.transfer = &transfer{j: j, until: now.Add(handOverFor), next: now, pause: handOverPauseFirst}
	p.transfers = append(p.transfers, j.transfer)
}

// handOver sends the answers whose turn has come and gives up on old ones.
func (p *pool) handOver(now time.Time) []coordination.Action {
	var b batches
	bytes := 0
	kept := p.transfers[:0]
	for _, t := range p.transfers {
		if !t.ended && bytes < handOverBurst && !now.Before(t.next) {
			t.to = p.homeOf(t.j)
			t.ended = !p.pending(now, t)
		}
		if t.ended {
			t.j.transfer = nil
			continue
		}
		if bytes < handOverBurst && !now.Before(t.next) {
			bytes += t.j.size
			b.add(t.to, t.j.size, t.j.stored(now, p.o))
			p.o.Metrics.handedOver(handOverSent)
			t.next = now.Add(t.pause)
			t.pause = min(2*t.pause, handOverPauseMax)
		}
		kept = append(kept, t)
	}
	clear(p.transfers[len(kept):])
	p.transfers = kept
	return b.acts
}

// pending reports whether a transfer goes on.
func (p *pool) pending(now time.Time, t *transfer) bool {
	switch {
	case t.to == "" || p.jobs[t.j.key.ID] != t.j || t.j.lacksResults():
		return false
	case !now.Before(t.until):
		p.o.Metrics.handedOver(handOverGivenUp)
		return false
	}
	return true
}

// settledBy ends the transfer that the new home has acknowledged.
func (p *pool) settledBy(from state.NodeID, id string) {
	if j := p.jobs[id]; j != nil && j.transfer != nil && j.transfer.to == from {
		j.transfer.ended = true
		j.movedTo = from
	}
}

// stored returns the job's answer as others store it.
func (j *job) stored(now time.Time, o *Options) message.StoredAnswer {
	s := message.StoredAnswer{Holder: j.holder, Digest: j.digest, Answer: j.answer}
	if s.Holder == "" {
		s.Holder = o.Self
	}
	s.Answer.Attempt = ""
	s.Age = max(0, o.Retention-j.expires.Sub(now))
	return s
}

// batches gathers answers into messages, several small ones in each.
type batches struct {
	acts []coordination.Action
	// open holds the place in acts of each node's last message, and its bytes.
	open map[state.NodeID]openBatch
}

type openBatch struct{ at, bytes int }

func (b *batches) add(to state.NodeID, size int, s message.StoredAnswer) {
	if b.open == nil {
		b.open = make(map[state.NodeID]openBatch)
	}
	o, ok := b.open[to]
	if !ok || o.bytes+size > handOverBatch {
		o = openBatch{at: len(b.acts)}
		b.acts = append(b.acts, coordination.Send{To: to, Msg: message.HandOver{}})
	}
	m := b.acts[o.at].(coordination.Send).Msg.(message.HandOver)
	m.Answers = append(m.Answers, s)
	b.acts[o.at] = coordination.Send{To: to, Msg: m}
	o.bytes += size
	b.open[to] = o
}
