package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// Work is the payload that tells the stand-in what to do. A payload that is
// not such an object takes no time and is echoed whole.
type Work struct {
	// WorkMS is how long the task takes.
	WorkMS float64 `json:"work_ms"`
	// Echo is the result.
	Echo json.RawMessage `json:"echo,omitempty"`
	// Fail, when set, fails the task with this message after its time.
	Fail string `json:"fail,omitempty"`
	// MemoryMB and Cores are what it really uses. Zero is what was declared.
	MemoryMB int64   `json:"memory_mb,omitempty"`
	Cores    float64 `json:"cores,omitempty"`
}

func parseWork(req wire.StartRequest) Work {
	var w Work
	trimmed := bytes.TrimSpace(req.Payload)
	if !bytes.HasPrefix(trimmed, []byte("{")) || json.Unmarshal(trimmed, &w) != nil {
		w = Work{Echo: req.Payload}
	}
	if len(w.Echo) == 0 {
		w.Echo = json.RawMessage("null")
	}
	if w.MemoryMB == 0 {
		w.MemoryMB = req.MemoryMB
	}
	if w.Cores == 0 {
		w.Cores = req.Cores
	}
	return w
}

// throttleFactor is how much longer the rest of a throttled task takes.
const throttleFactor = 2

// run is one started task. The server's lock guards the fields after done.
type run struct {
	id    string
	task  state.TaskKey
	req   wire.StartRequest
	work  Work
	begun time.Time
	// wake tells the working goroutine that a time has changed.
	wake chan struct{}
	// done is closed when the task has ended; outcome is fixed from then on.
	done chan struct{}

	ends      time.Time
	leaseEnds time.Time
	deadline  time.Time // zero: none
	stopped   bool
	throttled bool
	outcome   wire.TaskState
	// barred marks an ID that is never to start; nothing else is set then.
	barred bool
}

type endedID struct {
	id string
	at time.Time
}

// begin starts a task, or says why it is refused. The task goes on when its
// connection breaks: its lease decides.
//
// It does not ask whether the task ran before or fits: that is the agent's
// duty, and the ledger shows whether it did it. Only a barred ID is refused,
// because the agent has been promised so.
func (s *Server) begin(req wire.StartRequest, now time.Time) (*run, wire.ProblemCause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetLocked(now)
	known := s.tasks[req.TaskID]
	switch {
	case s.draining || s.dead:
		return nil, wire.CauseDraining
	case s.faults.Refuse:
		return nil, wire.CauseBusy
	case known != nil && known.barred:
		return nil, wire.CauseBarred
	}
	r := &run{
		id:    req.TaskID,
		task:  state.TaskKey{Job: state.JobKey{Service: req.Service, ID: req.Job}, Index: req.Index},
		req:   req,
		work:  parseWork(req),
		begun: now,
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
	r.ends = now.Add(fromMilliseconds(r.work.WorkMS) + s.faults.Slow)
	if s.faults.FailAll {
		r.ends = now
		r.work.Fail = "the worker fails everything it starts"
	}
	r.leaseEnds = now.Add(fromMilliseconds(float64(req.LeaseMS)))
	if req.DeadlineMS > 0 {
		r.deadline = now.Add(fromMilliseconds(float64(req.DeadlineMS)))
	}
	s.tasks[req.TaskID] = r
	s.ledger.started(r.task, r.work.MemoryMB)
	s.work.Go(func() { s.carryOut(r) })
	return r, ""
}

// carryOut works on a task until it ends.
func (s *Server) carryOut(r *run) {
	for {
		s.thaw(context.Background())
		next, ended := s.step(r, time.Now())
		if ended {
			return
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-r.wake:
		case <-s.killed:
			timer.Stop()
			s.end(r, time.Now(), wire.ReasonTaskFailed, "the process died")
			return
		}
		timer.Stop()
	}
}

// step ends the task if something is due, or returns when to look again. The
// lease is looked at first: after a pause the result of a task whose lease has
// lapsed must not pass for good, since its agent may be taken for dead.
func (s *Server) step(r *run, now time.Time) (next time.Time, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !now.Before(r.leaseEnds):
		s.endLocked(r, now, wire.ReasonLeaseLapsed, "the lease lapsed")
	case r.stopped:
		s.endLocked(r, now, wire.ReasonCancelled, "stopped as asked")
	case !r.deadline.IsZero() && !now.Before(r.deadline):
		s.endLocked(r, now, wire.ReasonDeadline, "the deadline passed")
	case !now.Before(r.ends) && r.work.Fail != "":
		s.endLocked(r, now, wire.ReasonTaskFailed, r.work.Fail)
	case !now.Before(r.ends):
		s.endLocked(r, now, "", "")
	default:
		return r.nextLook(), false
	}
	return time.Time{}, true
}

func (r *run) nextLook() time.Time {
	next := r.ends
	if r.leaseEnds.Before(next) {
		next = r.leaseEnds
	}
	if !r.deadline.IsZero() && r.deadline.Before(next) {
		next = r.deadline
	}
	return next
}

func (s *Server) end(r *run, now time.Time, reason wire.ProblemReason, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(r, now, reason, detail)
}

// endLocked fixes the outcome of a task, once; an empty reason is success.
func (s *Server) endLocked(r *run, now time.Time, reason wire.ProblemReason, detail string) {
	if r.outcome.State == wire.TaskDone {
		return
	}
	ranMS := float64(now.Sub(r.begun)) / float64(time.Millisecond)
	r.outcome = wire.TaskState{BackendID: s.opts.ID, State: wire.TaskDone}
	if reason == "" {
		r.outcome.Result = &wire.StartReply{Payload: r.work.Echo, RanMS: ranMS}
	} else {
		r.outcome.Problem = &wire.Problem{Detail: detail, Reason: reason, RanMS: ranMS}
	}
	s.ledger.ended(r.work.MemoryMB)
	s.usage.add(now, r.usageLine(now, true))
	s.ended = append(s.ended, endedID{id: r.id, at: now})
	close(r.done)
}

func (r *run) usageLine(now time.Time, done bool) wire.UsageLine {
	return wire.UsageLine{
		Service:      r.req.Service,
		Job:          r.req.Job,
		Index:        r.req.Index,
		Cores:        r.work.Cores,
		MemoryMB:     r.work.MemoryMB,
		Accelerators: r.req.Accelerators,
		RanMS:        float64(now.Sub(r.begun)) / float64(time.Millisecond),
		Done:         done,
	}
}

// forgetLocked drops what ended longer than rememberFor ago.
func (s *Server) forgetLocked(now time.Time) {
	n := 0
	for n < len(s.ended) && now.Sub(s.ended[n].at) > rememberFor {
		delete(s.tasks, s.ended[n].id)
		n++
	}
	s.ended = s.ended[n:]
}

// reportUsage adds a usage line for each running task now and then.
func (s *Server) reportUsage(ctx context.Context) {
	for sleep(ctx, usageInterval) {
		if !s.thaw(ctx) {
			return
		}
		s.reportRunning(time.Now())
	}
}

func (s *Server) reportRunning(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.tasks {
		if !r.barred && r.outcome.State != wire.TaskDone {
			s.usage.add(now, r.usageLine(now, false))
		}
	}
}

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
