package home

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// TakeOver stores an answer that another node gave to a job of which this node
// is the home now. The caller has made sure that the claim is m.Holder's and
// that the sender may speak for it. It reports whether that is settled; if not,
// the same answer is to be offered again.
func (h *Home) TakeOver(now time.Time, m *message.StoredAnswer) bool {
	s := h.shard(m.Answer.Key.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return h.poolLocked(s, m.Answer.Key.Service, true).takeOver(now, m)
}

func (p *pool) takeOver(now time.Time, m *message.StoredAnswer) bool {
	if j := p.jobs[m.Answer.Key.ID]; j != nil {
		// A resubmission that still waits for its claim's verdict is told to ask
		// the holder. The answer can take its place afterwards.
		return j.phase != claiming
	}
	j := &job{
		key: m.Answer.Key, digest: m.Digest, holder: m.Holder, phase: finished,
		epoch: m.Answer.Epoch, answer: m.Answer, expires: now.Add(p.o.Retention - m.Age),
	}
	j.answer.Holder = ""
	j.size = answerSize(&j.answer)
	if !j.expires.After(now) || j.size > p.o.StoredBytes || j.answer.Outcome == state.Pending {
		p.o.Metrics.handedOver(handOverRefused)
		return true
	}
	p.jobs[j.key.ID] = j
	p.insert(j)
	p.o.Metrics.handedOver(handOverTaken)
	return true
}

// insert puts a job among the stored ones, which stand in the order in which
// they expire. It goes behind those that have given up their results, even if it
// is older, so that they stay a prefix: it is the next to give up its own.
func (p *pool) insert(j *job) {
	at, _ := slices.BinarySearchFunc(p.stored, j.expires, func(x *job, t time.Time) int {
		return x.expires.Compare(t)
	})
	p.stored = slices.Insert(p.stored, max(at, p.shrunk), j)
	p.keep(j.size)
	p.shrinkOver()
}

// neverRuns makes a job that was refused as not run one that can't be revived.
//
// The home that holds the claim may run such a job after all when its caller
// comes back. Once the answer may have gone to another node, neither may: the
// claim names a node that leaves, and an answer that was sent twice, to two homes
// in turn, would let each of them start the tasks. So the holder gives up its
// right before it sends the answer, and those who get it never had it. Nobody
// else is granted the id while the claim is kept. "Not run" is then true for
// good, and of more use to the caller than "unknown": it may submit the work
// under another id.
func (j *job) neverRuns() {
	j.answer.Reason = state.ReasonHomeLost
	j.answer.RetryAfter = 0
	j.answer.Detail = "the job was refused before anything ran, and the agent that could still run it has stopped; submit it under another id"
}

// revivable reports whether a job that was refused as not run may run after all.
func (p *pool) revivable(j *job) bool {
	return j.answer.Outcome == state.NotRun && j.holder == "" && !p.leaving
}
