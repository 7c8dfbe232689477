package session

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/standin/backendserver"
)

// TestJobThatRanIsNotAnsweredNotRun: a job of 950 tasks ran under a declaration
// that takes 1,000 in one job. The operator lowers this to 900, and the caller,
// whose answer was lost, submits again. To say "not run" would be a lie that
// invites the caller to run the work a second time under another id.
func TestJobThatRanIsNotAnsweredNotRun(t *testing.T) {
	t.Parallel()
	notShort(t)
	s := newDeclaredSystem(t, options{entries: 1})
	const tasks = 950
	id := s.jobAt("large", s.agents[0])
	complete(t, s.entry(0).submit(job(id, tasks, 0)), id, tasks)
	a := oneOf(t, s.entry(0).apply(operator, 1, declarationFile(t, "declaration-2.json")), "complete")
	s.awaitVersion(a.Version)
	oneOf(t, s.entry(0).submit(job(id, tasks, 0)), "complete", "unknown", "failed")
	s.onceEach(id, tasks)
	fresh := s.jobAt("too-large", s.agents[0])
	refused(t, s.entry(0).submit(job(fresh, tasks, 0)), http.StatusRequestEntityTooLarge, "too_many_tasks")
	if n := s.started(fresh); n != 0 {
		t.Errorf("%d tasks of a job that is too large were started", n)
	}
}

// TestDeclaredDefaults: the operator declares that requests of the service are
// repeatable unless they say otherwise, and have a second. A request that says
// nothing is then repeatable, and so is not held to its id: other content under
// the same id is no conflict. One that runs for an hour is answered long before,
// though its caller stated no deadline.
func TestDeclaredDefaults(t *testing.T) {
	t.Parallel()
	notShort(t)
	s := newSystem(t, options{entries: 1})
	defaults := []byte(`"repeatable": true, "deadline_ms": 1000, "max_tasks"`)
	file := bytes.Replace(declarationFile(t, "declaration.json"), []byte(`"max_tasks"`), defaults, 1)
	a := oneOf(t, s.entry(0).apply(operator, 0, file), "complete")
	s.awaitVersion(a.Version)
	for _, echo := range []string{`"one"`, `"two"`} {
		r := s.entry(0).request(`{"id":"look","task":{"payload":{"echo":` + echo + `}}}`)
		if got := r.answer(t); r.status != http.StatusOK || string(got.Results[0]) != echo {
			t.Errorf("want %s, got %s", echo, r)
		}
	}
	late := s.entry(0).submit(`{"id":"late","tasks":[{"payload":{"work_ms":3600000}}]}`)
	refused(t, late, http.StatusGatewayTimeout, "deadline")
}

// TestJobRidesOutLostStarts: half of the connections that carry a start break
// before the task has begun, so that for moments every agent refuses. A job of
// which some part has run is given seconds to go on, because its failure wastes
// what ran and can't be taken back by submitting again.
func TestJobRidesOutLostStarts(t *testing.T) {
	t.Parallel()
	notShort(t)
	s := newDeclaredSystem(t, options{entries: 1})
	for _, b := range s.backends {
		b.SetFaults(backendserver.Faults{DropRequests: 0.5})
	}
	const tasks = 2 * slots
	for _, home := range s.agents {
		id := s.jobAt("half", home)
		complete(t, s.entry(0).submit(job(id, tasks, 10*time.Millisecond)), id, tasks)
		s.onceEach(id, tasks)
	}
}
