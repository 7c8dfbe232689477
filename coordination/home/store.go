package home

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// answerOverhead is roughly what a stored answer and each of its results cost
// beside their payloads, in bytes.
const answerOverhead = 160

// store keeps a finished job's answer. Specifications and payloads of its tasks
// are no longer needed; the tries are, see revive.
func (p *pool) store(now time.Time, j *job) {
	j.expires = now.Add(p.o.Retention)
	j.size = answerSize(&j.answer)
	if j.answer.Outcome == state.NotRun {
		for i := range j.tasks {
			j.tasks[i] = task{try: j.tasks[i].try}
		}
	} else {
		j.tasks = nil
	}
	j.backlog, j.contacts, j.batches, j.failed = nil, nil, nil, nil
	p.stored = append(p.stored, j)
	p.keep(j.size)
	p.shrinkOver()
	if p.leaving {
		p.queue(now, j)
	}
}

func answerSize(a *message.Answer) int {
	size := answerOverhead + len(a.Detail)
	for i := range a.Results {
		r := &a.Results[i]
		size += answerOverhead + len(r.Payload) + len(r.Err)
	}
	return size
}

// keep counts stored bytes, here and for the whole home.
func (p *pool) keep(bytes int) {
	p.bytes += bytes
	p.allBytes.Add(int64(bytes))
}

// shrinkOver has the service's oldest answers give up their results until what
// the home stores of all services is within its bound. A bound for each service
// alone bounds nothing where an agent is home of hundreds of them.
func (p *pool) shrinkOver() {
	for p.allBytes.Load() > int64(p.o.StoredBytes) && p.shrunk < len(p.stored)-1 {
		p.shrink(p.stored[p.shrunk])
		p.shrunk++
	}
}

// shrink gives up a stored answer's results. That the job is finished stays
// known until it expires, so that it isn't run again; whoever asks for it is
// told that the results are gone.
func (p *pool) shrink(j *job) {
	if j.answer.Results == nil {
		return
	}
	p.keep(answerOverhead - j.size)
	j.size = answerOverhead
	j.answer.Results = nil
	j.answer.Outcome = state.Unknown
	j.answer.Reason = state.ReasonUnknownJob
	j.answer.Detail = "the job completed, but its answer is no longer stored"
}

// lacksResults reports whether a finished job has given up its results.
func (j *job) lacksResults() bool {
	return j.answer.Reason == state.ReasonUnknownJob
}

// expire forgets jobs past their retention.
func (p *pool) expire(now time.Time) {
	n := 0
	for n < len(p.stored) && now.After(p.stored[n].expires) {
		j := p.stored[n]
		n++
		p.keep(-j.size)
		delete(p.jobs, j.key.ID)
	}
	if n > 0 {
		p.stored = slices.Delete(p.stored, 0, n)
		p.shrunk = max(0, p.shrunk-n)
	}
}

// unstore takes a job out of the stored ones, to run it after all.
func (p *pool) unstore(j *job) {
	for i, x := range p.stored {
		if x == j {
			p.keep(-j.size)
			p.stored = slices.Delete(p.stored, i, i+1)
			if i < p.shrunk {
				p.shrunk--
			}
			return
		}
	}
}
