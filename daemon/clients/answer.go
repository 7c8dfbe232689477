package clients

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/job"
)

// reasons are the interface's words for the verdicts of owners and entries.
var reasons = map[string]state.Reason{
	owner.ReasonOverload:         state.ReasonOverload,
	owner.ReasonNoWorker:         state.ReasonNoBackend,
	owner.ReasonDomainDrained:    state.ReasonDomainDrained,
	owner.ReasonStoreUnavailable: state.ReasonStoreUnavailable,
	owner.ReasonIDConflict:       state.ReasonIDConflict,
	owner.ReasonNoOwner:          state.ReasonNoOwner,
	owner.ReasonOwnerLost:        state.ReasonOwnerLost,
	owner.ReasonTimeLimit:        state.ReasonDeadline,
}

func reasonOf(v owner.Response) state.Reason {
	if r, ok := reasons[v.Reason]; ok {
		return r
	}
	return state.ReasonUndocumented
}

func refused(key state.JobKey, r state.Reason, after time.Duration) state.Answer {
	return state.Answer{Key: key, Outcome: state.NotRun, Reason: r, RetryAfter: after}
}

// failed is the answer where there is no job to tell of.
func failed(key state.JobKey, v owner.Response) state.Answer {
	switch v.Outcome {
	case owner.Refused:
		return refused(key, reasonOf(v), v.RetryAfter)
	case owner.Absent:
		// A submission may be on its way and be accepted a moment later.
		return state.Answer{Key: key, Outcome: state.Unknown, Reason: state.ReasonUnknownJob}
	}
	return state.Answer{Key: key, Outcome: state.Unknown, Reason: reasonOf(v), RetryAfter: v.RetryAfter}
}

// answerOf tells what a job has come to.
func answerOf(key state.JobKey, v owner.Response) state.Answer {
	if v.Outcome != owner.OK {
		return failed(key, v)
	}
	switch v.State {
	case job.Completed:
		return complete(key, v)
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

// coreTime is the time of one core that a complete job has taken.
func coreTime(a state.Answer, j *state.Job) time.Duration {
	var sum float64
	for i, work := range a.Work {
		sum += work.Seconds() * j.Tasks[i].Cores
	}
	return time.Duration(sum * float64(time.Second))
}

func complete(key state.JobKey, v owner.Response) state.Answer {
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
