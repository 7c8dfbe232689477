package state

import "net/http"

// Outcome says how far a submission came. Only one who holds the authority to
// know may say NotRun.
type Outcome uint8

const (
	// Pending means that the job is still being worked on.
	Pending Outcome = iota
	// Complete means that every task has a result.
	Complete
	// NotRun means that nobody has started any part and nobody will.
	NotRun
	// Failed means that it or part of it ran, or was stopped.
	Failed
	// Unknown means that it may have run.
	Unknown
)

var outcomeNames = [...]string{"pending", "complete", "not_run", "failed", "unknown"}

// String returns the outcome as it stands in answers and metrics.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Reason is a documented code for a refusal or a failure. The same word stands
// in problem documents, metric labels and logs; docs/OPERATIONS.md lists what
// to do about each.
type Reason string

// The reasons. Each has an entry in reasonStatus.
const (
	ReasonNone Reason = ""

	// The submission itself.
	ReasonMalformed      Reason = "malformed"
	ReasonTooLarge       Reason = "too_large"
	ReasonTooManyTasks   Reason = "too_many_tasks"
	ReasonUnauthorized   Reason = "unauthorized"
	ReasonForbidden      Reason = "forbidden"
	ReasonUnknownService Reason = "unknown_service"
	ReasonUnknownJob     Reason = "unknown_job"
	ReasonIDConflict     Reason = "id_conflict"
	ReasonNeverRunnable  Reason = "never_runnable"

	// Limits.
	ReasonQuota    Reason = "quota"
	ReasonOverload Reason = "overload"
	ReasonBusy     Reason = "busy"

	// Time.
	ReasonDeadline  Reason = "deadline"
	ReasonCancelled Reason = "cancelled"

	// Who owns the job, and where its tasks run.
	ReasonNoOwner   Reason = "no_owner"
	ReasonOwnerLost Reason = "owner_lost"
	ReasonNoBackend Reason = "no_backend"
	// All backend servers that may have the job are in drained failure domains.
	ReasonDomainDrained Reason = "domain_drained"
	ReasonTaskFailed    Reason = "task_failed"
	// ReasonCutOff: a task was cut off with its backend server; it may have run
	// in part, and may not be repeated.
	ReasonCutOff Reason = "cut_off"
	// ReasonCrashed: a task took the backend servers down on which it was started, and is
	// not started again.
	ReasonCrashed Reason = "task_crashed"

	// The platform's store, and declarations in it.
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonLostRace         Reason = "lost_race"
	ReasonServiceOwned     Reason = "service_owned"
	ReasonRegionFixed      Reason = "region_fixed"
	ReasonApplyUnknown     Reason = "apply_unknown"
	ReasonNoDeclaration    Reason = "no_declaration"
	ReasonNotReady         Reason = "not_ready"
	// ReasonUnknownDomain: no agent is known in the failure domain.
	ReasonUnknownDomain Reason = "unknown_domain"
	// ReasonDrainsElsewhere: drains are set at the platform, not at this interface.
	ReasonDrainsElsewhere Reason = "drains_elsewhere"

	// The HTTP interface itself.
	ReasonUnknownRoute     Reason = "unknown_route"
	ReasonMethodNotAllowed Reason = "method_not_allowed"
	// ReasonInternal says that a check on an answer failed before it went out.
	ReasonInternal Reason = "internal"
	// ReasonUndocumented stands for a word of a peer that is not in this list.
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

// HTTPStatus returns the status code that answers a request refused or failed
// for this reason.
func (r Reason) HTTPStatus() int {
	if s, ok := reasonStatus[r]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Known returns r if it is documented, and ReasonUndocumented otherwise. None
// stays none. Reasons are labels of metrics: each new word of a peer would be a
// new series, for ever.
func (r Reason) Known() Reason {
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
