package admit

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// outbox gathers what one home is to be told.
type outbox struct {
	home    state.NodeID
	reports []*message.Report
	// urgent outboxes don't wait for company.
	urgent bool
}

func (m *Machine) outboxLocked(home state.NodeID) *outbox {
	b := m.outbox[home]
	if b == nil {
		b = &outbox{home: home}
		m.outbox[home] = b
		m.outOrder = append(m.outOrder, home)
	}
	return b
}

// report returns the report on a job that is to go out next.
func (b *outbox) report(key state.JobKey) *message.Report {
	for _, r := range b.reports {
		if r.Key == key {
			return r
		}
	}
	r := &message.Report{Key: key}
	b.reports = append(b.reports, r)
	return r
}

// refuse adds a refused task. A report carries one reason, so another reason
// goes into a report of its own.
func (b *outbox) refuse(e *entry, reason state.Reason) {
	b.urgent = true
	var r *message.Report
	for _, x := range b.reports {
		if x.Key == e.key.Job && (len(x.Refused) == 0 || x.Reason == reason) {
			r = x
			break
		}
	}
	if r == nil {
		r = &message.Report{Key: e.key.Job}
		b.reports = append(b.reports, r)
	}
	r.Refused = append(r.Refused, e.key.Index)
	r.Tries = append(r.Tries, e.try)
	r.Reason = reason
	r.RetryAfter = retryAfter(reason)
}

func retryAfter(reason state.Reason) time.Duration {
	switch reason {
	case state.ReasonBusy:
		return busyRetry
	case state.ReasonNeverRunnable, state.ReasonDeadline:
		return 0
	}
	return elsewhereRetry
}

// flushLocked sends what is due. The first result to a home goes at once; more
// results within Hold of it go together at the next tick.
func (m *Machine) flushLocked(now time.Time) []coordination.Action {
	if len(m.outOrder) == 0 {
		return nil
	}
	load := m.loadLocked(now)
	var out []coordination.Action
	kept := m.outOrder[:0]
	for _, home := range m.outOrder {
		b := m.outbox[home]
		if !b.urgent && now.Sub(m.sentAt[home]) < m.o.Hold {
			kept = append(kept, home)
			continue
		}
		for _, r := range b.reports {
			r.Load = load
			out = append(out, coordination.Send{To: home, Msg: *r})
		}
		delete(m.outbox, home)
		m.sentAt[home] = now
	}
	m.outOrder = kept
	return out
}

// keptResults bounds the results kept for homes whose Report was lost.
type keptResults struct {
	order []keptResult
	bytes int
	limit int
}

type keptResult struct {
	e     *entry
	size  int
	until time.Time
}

// resultOverhead is roughly what a kept result costs beside its payload, in bytes.
const resultOverhead = 96

func (m *Machine) keepLocked(now time.Time, e *entry, r state.TaskResult) {
	size := len(r.Payload) + len(r.Err) + resultOverhead
	e.result = &r
	k := &m.kept
	k.order = append(k.order, keptResult{e, size, now.Add(m.o.ResultRetention)})
	k.bytes += size
	k.trim(now)
}

func (k *keptResults) trim(now time.Time) {
	n := 0
	for n < len(k.order) && (k.bytes > k.limit || now.After(k.order[n].until)) {
		e := k.order[n].e
		e.job.forget(e)
		k.bytes -= k.order[n].size
		n++
	}
	if n > 0 {
		k.order = slices.Delete(k.order, 0, n)
	}
}

// sweepInterval is how often old jobs are looked for.
const sweepInterval = 10 * time.Second

// sweepLocked forgets jobs that nothing was heard of for the retention time,
// and expired results.
func (m *Machine) sweepLocked(now time.Time) {
	if now.Before(m.sweepAt) {
		return
	}
	m.sweepAt = now.Add(sweepInterval)
	m.kept.trim(now)
	for home, at := range m.sentAt {
		if now.Sub(at) > sweepInterval {
			delete(m.sentAt, home)
		}
	}
	for key, j := range m.jobs {
		if now.Sub(j.touched) > m.o.Retention && !j.active() {
			delete(m.jobs, key)
		}
	}
}

func (j *job) active() bool {
	for _, e := range j.entries {
		if e.phase == queued || e.phase == running {
			return true
		}
	}
	return false
}
