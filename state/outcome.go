package state

import "net/http"

// Outcome is the final or current state of a submission. NotRun may be reported
// only by a component that can rule out that a task was or will be started;
// otherwise the outcome is Unknown.
type Outcome uint8

const (
	// Pending means that the job has not ended yet.
	Pending Outcome = iota
	// Complete means that every task has a result.
	Complete
	// NotRun means that no task was started and none will be.
	NotRun
	// Failed means that the job ran at least in part and failed, or was cancelled.
	Failed
	// Unknown means that the job may have run.
	Unknown
)

var outcomeNames = [...]string{"pending", "complete", "not_run", "failed", "unknown"}

// String returns the name of the outcome in answers and metrics.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Reason is a documented code for a refusal or a failure. Problem documents,
// metric labels and logs use the same code; docs/OPERATIONS.md lists what to do
// about each.
type Reason string

// The reasons. Each one needs an entry in reasonStatus.
const (
	ReasonNone Reason = ""

	// Faults of the submission itself.
	ReasonMalformed      Reason = "malformed"
	ReasonTooLarge       Reason = "too_large"
	ReasonTooManyTasks   Reason = "too_many_tasks"
	ReasonUnauthorized   Reason = "unauthorized"
	ReasonForbidden      Reason = "forbidden"
	ReasonUnknownService Reason = "unknown_service"
	ReasonUnknownJob     Reason = "unknown_job"
	ReasonIDConflict     Reason = "id_conflict"
	ReasonNeverRunnable  Reason = "never_runnable"

	// Limits that were reached.
	ReasonQuota    Reason = "quota"
	ReasonOverload Reason = "overload"
	// ReasonOverShare: capacity is contended, and the job's queue has taken its share.
	ReasonOverShare Reason = "over_share"
	ReasonBusy      Reason = "busy"

	// The end of the wait for a job.
	ReasonDeadline  Reason = "deadline"
	ReasonCancelled Reason = "cancelled"

	// Ownership of the job and placement of its tasks.
	ReasonNoOwner   Reason = "no_owner"
	ReasonOwnerLost Reason = "owner_lost"
	ReasonNoBackend Reason = "no_backend"
	// ReasonDomainDrained: all backend servers that could run the job are in
	// drained failure domains.
	ReasonDomainDrained Reason = "domain_drained"
	ReasonTaskFailed    Reason = "task_failed"
	// ReasonCutOff: the backend server that ran a task was lost. The task may have
	// run in part and must not be started again, because the job is not
	// repeatable.
	ReasonCutOff Reason = "cut_off"
	// ReasonCrashed: a task crashed the backend servers on which it was started and
	// is not started again.
	ReasonCrashed Reason = "task_crashed"

	// The platform's store, and the declarations and drains in it.
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonLostRace         Reason = "lost_race"
	ReasonServiceOwned     Reason = "service_owned"
	ReasonRegionFixed      Reason = "region_fixed"
	ReasonApplyUnknown     Reason = "apply_unknown"
	ReasonNoDeclaration    Reason = "no_declaration"
	ReasonNotReady         Reason = "not_ready"
	// ReasonUnknownDomain: no known agent is in the failure domain.
	ReasonUnknownDomain Reason = "unknown_domain"
	// ReasonDrainsElsewhere: drains are set through the platform, not through this
	// interface.
	ReasonDrainsElsewhere Reason = "drains_elsewhere"

	// The HTTP interface itself.
	ReasonUnknownRoute     Reason = "unknown_route"
	ReasonMethodNotAllowed Reason = "method_not_allowed"
	// ReasonInternal: an answer failed an internal consistency check and was not
	// sent.
	ReasonInternal Reason = "internal"
	// ReasonUndocumented replaces a reason received from a peer that is not in this
	// list.
	ReasonUndocumented Reason = "undocumented"
)

var reasonStatus = map[Reason]int{
	ReasonMalformed:        http.StatusBadRequest,
	ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	ReasonTooManyTasks:     http.StatusRequestEntityTooLarge,
	ReasonUnauthorized:     http.StatusUnauthorized,
	ReasonForbidden:        http.StatusForbidden,
	ReasonUnknownService:   http.StatusNotFound,
	ReasonUnknownJob:       http.StatusNotFound,
	ReasonIDConflict:       http.StatusConflict,
	ReasonNeverRunnable:    http.StatusUnprocessableEntity,
	ReasonQuota:            http.StatusTooManyRequests,
	ReasonOverload:         http.StatusServiceUnavailable,
	ReasonOverShare:        http.StatusTooManyRequests,
	ReasonBusy:             http.StatusServiceUnavailable,
	ReasonDeadline:         http.StatusGatewayTimeout,
	ReasonCancelled:        http.StatusConflict,
	ReasonNoOwner:          http.StatusServiceUnavailable,
	ReasonOwnerLost:        http.StatusBadGateway,
	ReasonNoBackend:        http.StatusServiceUnavailable,
	ReasonDomainDrained:    http.StatusServiceUnavailable,
	ReasonTaskFailed:       http.StatusBadGateway,
	ReasonCutOff:           http.StatusBadGateway,
	ReasonCrashed:          http.StatusBadGateway,
	ReasonStoreUnavailable: http.StatusServiceUnavailable,
	ReasonLostRace:         http.StatusConflict,
	ReasonServiceOwned:     http.StatusConflict,
	ReasonRegionFixed:      http.StatusUnprocessableEntity,
	ReasonApplyUnknown:     http.StatusServiceUnavailable,
	ReasonNoDeclaration:    http.StatusNotFound,
	ReasonNotReady:         http.StatusServiceUnavailable,
	ReasonUnknownDomain:    http.StatusNotFound,
	ReasonDrainsElsewhere:  http.StatusConflict,
	ReasonUnknownRoute:     http.StatusNotFound,
	ReasonMethodNotAllowed: http.StatusMethodNotAllowed,
	ReasonInternal:         http.StatusInternalServerError,
	ReasonUndocumented:     http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status code of a response to a request that was
// refused or failed for this reason.
func (r Reason) HTTPStatus() int {
	if s, ok := reasonStatus[r]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Normalize returns r if it is documented or ReasonNone, and ReasonUndocumented
// otherwise. Reasons are metric labels: without this, every new value that a peer
// sends would create a time series that is never removed.
func (r Reason) Normalize() Reason {
	if _, ok := reasonStatus[r]; ok || r == ReasonNone {
		return r
	}
	return ReasonUndocumented
}

// Reasons returns every documented reason, in no particular order.
func Reasons() []Reason {
	out := make([]Reason, 0, len(reasonStatus))
	for r := range reasonStatus {
		out = append(out, r)
	}
	return out
}
