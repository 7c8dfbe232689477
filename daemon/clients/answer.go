package clients

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/job"
)

// responseReasons maps the reasons in responses of owners and entries to the reasons
// of the HTTP interface.
var responseReasons = map[string]state.Reason{
	owner.ReasonOverload:         state.ReasonOverload,
	owner.ReasonOverShare:        state.ReasonOverShare,
	owner.ReasonNoWorker:         state.ReasonNoBackend,
	owner.ReasonDomainDrained:    state.ReasonDomainDrained,
	owner.ReasonStoreUnavailable: state.ReasonStoreUnavailable,
	owner.ReasonIDConflict:       state.ReasonIDConflict,
	owner.ReasonNoOwner:          state.ReasonNoOwner,
	owner.ReasonOwnerLost:        state.ReasonOwnerLost,
	owner.ReasonTimeLimit:        state.ReasonDeadline,
	owner.ReasonNoMemory:         state.ReasonBusy,
}

func reasonOf(v owner.Response) state.Reason {
	if r, ok := responseReasons[v.Reason]; ok {
		return r
	}
	return state.ReasonUndocumented
}

func refusedAnswer(key state.JobKey, r state.Reason, after time.Duration) state.Answer {
	return state.Answer{Key: key, Outcome: state.NotRun, Reason: r, RetryAfter: after}
}

// failureAnswer returns the answer for a response other than OK, which has no job
// state.
func failureAnswer(key state.JobKey, v owner.Response) state.Answer {
	switch v.Outcome {
	case owner.Refused:
		return refusedAnswer(key, reasonOf(v), v.RetryAfter)
	case owner.Absent:
		// A submission of the job may be in flight and be accepted later.
		return state.Answer{Key: key, Outcome: state.Unknown, Reason: state.ReasonUnknownJob}
	}
	return state.Answer{Key: key, Outcome: state.Unknown, Reason: reasonOf(v), RetryAfter: v.RetryAfter}
}

// answerOf returns the answer for a response about a job.
func answerOf(key state.JobKey, v owner.Response) state.Answer {
	if v.Outcome != owner.OK {
		return failureAnswer(key, v)
	}
	switch v.State {
	case job.Completed:
		return completeAnswer(key, v)
	case job.Cancelled:
		return state.Answer{Key: key, Outcome: state.Failed, Reason: state.ReasonCancelled}
	case job.Failed:
		a := state.Answer{Key: key, Outcome: state.Failed, Reason: state.ReasonTaskFailed, Detail: v.Failure}
		switch v.Failure {
		case owner.FailureLost:
			a.Reason = state.ReasonCutOff
		case owner.FailureCrashed:
			a.Reason = state.ReasonCrashed
		}
		return a
	}
	return state.Answer{Key: key, Outcome: state.Pending}
}

// coreTime returns the core time that the tasks of a complete job have used. It is
// zero for an answer that isn't complete.
func coreTime(a state.Answer, j *state.Job) time.Duration {
	var sum float64
	for i, work := range a.Work {
		sum += work.Seconds() * j.Tasks[i].Cores
	}
	return time.Duration(sum * float64(time.Second))
}

func completeAnswer(key state.JobKey, v owner.Response) state.Answer {
	a := state.Answer{Key: key, Outcome: state.Complete, Results: make([][]byte, len(v.Tasks))}
	for i, t := range v.Tasks {
		a.Results[i] = []byte(t.Result)
		a.Work = append(a.Work, t.Work)
		a.Stats.Longest = max(a.Stats.Longest, t.Work)
		a.Stats.Total += t.Work
	}
	a.Stats.Elapsed = v.Elapsed
	return a
}
