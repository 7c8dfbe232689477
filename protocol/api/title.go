package api

import "github.com/shallotstep/shallotstep/state"

// titles holds one sentence for each reason. It is the same on every
// occurrence; what is particular to one stands in the detail.
var titles = map[state.Reason]string{
	state.ReasonMalformed:           "The request is malformed",
	state.ReasonTooLarge:            "The request is too large",
	state.ReasonTooManyTasks:        "The job has too many tasks",
	state.ReasonUnauthorized:        "A valid bearer token is needed",
	state.ReasonForbidden:           "The token doesn't allow this",
	state.ReasonUnknownService:      "No such service is declared",
	state.ReasonUnknownJob:          "No such job is known",
	state.ReasonIDConflict:          "The id stands for another submission",
	state.ReasonNeverRunnable:       "No known worker can ever run this",
	state.ReasonQuota:               "The operator's quota is used up",
	state.ReasonQueueFull:           "The queue is full",
	state.ReasonOverload:            "The system is overloaded",
	state.ReasonRetryBudget:         "The retry budget is used up",
	state.ReasonBusy:                "Every backend server is busy",
	state.ReasonDeadlineUnreachable: "The deadline can't be met",
	state.ReasonDeadline:            "The deadline has passed",
	state.ReasonCancelled:           "The job was cancelled",
	state.ReasonNoPair:              "No pair of agents can guard the claim",
	state.ReasonStaleEpoch:          "The roster has moved on",
	state.ReasonClaimsUnknown:       "The claims of this share are not known",
	state.ReasonHomeUnreachable:     "The job's home can't be reached",
	state.ReasonHomeLost:            "The job's home was lost",
	state.ReasonBarred:              "The attempt was ruled out",
	state.ReasonNoBackend:           "No backend server offers the service",
	state.ReasonAgentLost:           "The agent that ran it was lost",
	state.ReasonTaskFailed:          "A task failed",
	state.ReasonDraining:            "The backend server is draining",
	state.ReasonLeaseLapsed:         "The lease lapsed",
	state.ReasonEjected:             "The backend server is ejected",
	state.ReasonLostRace:            "Another declaration came first",
	state.ReasonServiceOwned:        "Another operator owns the service",
	state.ReasonRegionFixed:         "A service can't change its region",
	state.ReasonLogUnavailable:      "The platform's log is out of service",
	state.ReasonApplyUnknown:        "The change may or may not be in the log",
	state.ReasonNoDeclaration:       "The operator has declared nothing",
	state.ReasonNotReady:            "The node isn't ready",
	state.ReasonNothingToRestore:    "The view of the declarations is complete",
	state.ReasonRestoreVoid:         "The restore has no effect",
	state.ReasonUnknownNode:         "No such node is in the roster",
	state.ReasonNoReply:             "The node has not replied",
	state.ReasonStopRefused:         "The node takes no stop from this entry",
	state.ReasonStillMember:         "A node is still in the roster",
	state.ReasonUnknownRoute:        "No such resource",
	state.ReasonMethodNotAllowed:    "The resource doesn't know this method",
	state.ReasonInternal:            "An internal check failed",
	state.ReasonUndocumented:        "Another daemon gave a reason that is not known here",
}

// Title returns the sentence that names a reason.
func Title(r state.Reason) string {
	if t, ok := titles[r]; ok {
		return t
	}
	return "The request was refused"
}
