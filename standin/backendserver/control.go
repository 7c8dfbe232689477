package backendserver

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// stateOf returns what is known of a task, and its end to wait for if it runs.
func (s *Server) stateOf(id string) (wire.TaskState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateLocked(id)
}

func (s *Server) stateLocked(id string) (wire.TaskState, <-chan struct{}) {
	st := wire.TaskState{BackendID: s.opts.ID, State: wire.TaskUnknown}
	r := s.tasks[id]
	switch {
	case r == nil:
	case r.barred:
		st.State = wire.TaskBarred
	case r.outcome.State == wire.TaskDone:
		st = r.outcome
	default:
		st.State = wire.TaskRunning
		return st, r.done
	}
	return st, nil
}

// control carries out a verb. Stop and bar rule out an ID that has not come.
func (s *Server) control(id string, verb coordination.Verb, now time.Time) wire.TaskState {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.tasks[id]
	if r == nil && (verb == coordination.VerbStop || verb == wire.VerbBar) {
		s.tasks[id] = &run{id: id, barred: true}
		s.ended = append(s.ended, endedID{id: id, at: now})
	}
	if r != nil && !r.barred && r.outcome.State != wire.TaskDone {
		r.applyLocked(verb, now)
	}
	st, _ := s.stateLocked(id)
	return st
}

func (r *run) applyLocked(verb coordination.Verb, now time.Time) {
	switch verb {
	case coordination.VerbStop:
		r.stopped = true
	case coordination.VerbThrottle:
		if !r.throttled && r.ends.After(now) {
			r.throttled = true
			r.ends = now.Add(throttleFactor * r.ends.Sub(now))
		}
	case coordination.VerbRelease:
		if r.throttled && r.ends.After(now) {
			r.throttled = false
			r.ends = now.Add(r.ends.Sub(now) / throttleFactor)
		}
	}
	r.wakeUp()
}

func (r *run) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// renew extends leases and returns the IDs that do not run.
func (s *Server) renew(req wire.LeaseRequest, now time.Time) wire.LeaseReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := wire.LeaseReply{NotRunning: []string{}}
	for _, id := range req.TaskIDs {
		r := s.tasks[id]
		if r == nil || r.barred || r.outcome.State == wire.TaskDone || !now.Before(r.leaseEnds) {
			reply.NotRunning = append(reply.NotRunning, id)
			continue
		}
		r.leaseEnds = now.Add(fromMilliseconds(float64(req.LeaseMS)))
		r.wakeUp()
	}
	return reply
}
