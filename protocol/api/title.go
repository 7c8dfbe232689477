package api

import "github.com/shallotstep/shallotstep/state"

// titles has the title of each reason. A title is the same for every occurrence
// of the reason; the detail describes the particular occurrence.
var titles = map[state.Reason]string{
	state.ReasonMalformed:        "The request is malformed",
	state.ReasonTooLarge:         "The request is too large",
	state.ReasonTooManyTasks:     "The job has too many tasks",
	state.ReasonUnauthorized:     "A valid bearer token is needed",
	state.ReasonForbidden:        "The token doesn't allow this",
	state.ReasonUnknownService:   "No such service is declared",
	state.ReasonUnknownJob:       "No such job is known",
	state.ReasonIDConflict:       "The id stands for another submission",
	state.ReasonNeverRunnable:    "No known worker is large enough for this",
	state.ReasonQuota:            "The operator's quota is used up",
	state.ReasonOverload:         "The system is overloaded",
	state.ReasonOverShare:        "The queue has taken its share of the capacity",
	state.ReasonBusy:             "The entry holds too many submissions",
	state.ReasonDeadline:         "The deadline has passed",
	state.ReasonCancelled:        "The job was cancelled",
	state.ReasonNoOwner:          "No agent owns the job's shard at the moment",
	state.ReasonOwnerLost:        "The agent that owned the job was lost before it answered",
	state.ReasonDomainDrained:    "All failure domains that could serve this are drained",
	state.ReasonUnknownDomain:    "No agent is known in this failure domain",
	state.ReasonDrainsElsewhere:  "Drains are set at the platform",
	state.ReasonNoBackend:        "No backend server offers the service",
	state.ReasonTaskFailed:       "A task failed",
	state.ReasonCutOff:           "A task was cut off with its backend server",
	state.ReasonCrashed:          "A task took down the backend servers that started it",
	state.ReasonStoreUnavailable: "The platform's store is out of service",
	state.ReasonLostRace:         "Another declaration came first",
	state.ReasonServiceOwned:     "Another operator owns the service",
	state.ReasonRegionFixed:      "A service can't change its region",
	state.ReasonApplyUnknown:     "The declaration may or may not be in force",
	state.ReasonNoDeclaration:    "The operator has declared nothing",
	state.ReasonNotReady:         "The entry isn't ready",
	state.ReasonUnknownRoute:     "No such resource",
	state.ReasonMethodNotAllowed: "The resource doesn't know this method",
	state.ReasonInternal:         "An internal check failed",
	state.ReasonUndocumented:     "Another daemon gave a reason that is not known here",
}

// Title returns the title of a reason, or a generic one for an unknown reason.
func Title(r state.Reason) string {
	if t, ok := titles[r]; ok {
		return t
	}
	return "The request was refused"
}
