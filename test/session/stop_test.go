package session

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/standin/backendserver"
)

// TestPlannedStopsInTheMiddle: SIGTERM reaches, one after the other and each in
// the middle of a job, an agent that runs tasks of another home, the home
// itself (which leaves one agent behind), and the entry that the caller waits
// at. No caller sees any of it: every answer is complete, each task was started
// once, and every process exits with 0.
func TestPlannedStopsInTheMiddle(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 2})
	t.Log("stop an agent that runs tasks of another home")
	stopInTheMiddle(s, s.agents[2], "runner", s.agents[0])
	for _, e := range s.entries {
		s.awaitAgents(e, 2)
	}
	t.Log("stop the home")
	stopInTheMiddle(s, s.agents[0], "home", s.agents[0])
	t.Log("stop the entry")
	stopEntryInTheMiddle(s)
	s.noDouble()
}

// stopInTheMiddle stops an agent once tasks of a job with a home run there.
func stopInTheMiddle(s *system, p *process, prefix string, home *process) {
	s.t.Helper()
	const tasks = 3 * slots
	id := s.jobAt(prefix, home)
	answered := s.entry(0).later(job(id, tasks, long))
	await(s.t, "tasks at "+p.name, func() bool { return s.backendOf(p).Running() > 0 })
	p.signal(syscall.SIGTERM)
	complete(s.t, <-answered, id, tasks)
	if code := p.exit(); code != 0 {
		s.t.Errorf("%s exits with %d", p.name, code)
	}
	s.onceEach(id, tasks)
}

// stopEntryInTheMiddle stops an entry whose caller waits for a repeatable
// request: that lives in the entry alone.
func stopEntryInTheMiddle(s *system) {
	s.t.Helper()
	p, c := s.entries[0], s.entry(0)
	before := s.running()
	answered := make(chan reply, 1)
	body := fmt.Sprintf(`{"id":"look","repeatable":true,"deadline_ms":50000,"task":{"payload":{"work_ms":%d,"echo":"seen"}}}`, long.Milliseconds())
	go func() { answered <- c.request(body) }()
	await(s.t, "the request to run", func() bool { return s.running() > before })
	p.signal(syscall.SIGTERM)
	r := <-answered
	if a := r.answer(s.t); r.status != http.StatusOK || a.Outcome != "complete" || string(a.Results[0]) != `"seen"` {
		s.t.Errorf("the request through a stopping entry: %s", r)
	}
	if code := p.exit(); code != 0 {
		s.t.Errorf("%s exits with %d", p.name, code)
	}
}

// TestDrainByCommandLine: the person on call takes an agent out of service by
// shallotstep drain NODE, as its usage says. The agent ends as planned.
func TestDrainByCommandLine(t *testing.T) {
	t.Parallel()
	notShort(t)
	s := newDeclaredSystem(t, options{entries: 1})
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	defer cancel()
	out, err := exec.CommandContext(ctx, cliPath, "drain", "-addr", s.entries[0].http, s.agents[2].node).CombinedOutput()
	if err != nil {
		t.Fatalf("drain: %v: %s", err, out)
	}
	if code := s.agents[2].exit(); code != 0 {
		t.Errorf("the drained agent exits with %d", code)
	}
}

// TestSecondSignalEndsTheProcess: a planned stop waits for a task that runs for
// an hour. The person on call wants the process gone and sends SIGTERM again:
// it ends at once, with a failure code, because it cut something off.
func TestSecondSignalEndsTheProcess(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 1})
	home := s.agents[0]
	id := s.jobAt("hour", home)
	const tasks = 3 * slots
	answered := s.entry(0).later(job(id, tasks, time.Hour))
	s.awaitStarted(id, tasks)
	// The entry first: it has nothing to wait for once the home is gone.
	for _, p := range []*process{s.entries[0], home} {
		p.signal(syscall.SIGTERM)
		p.awaitLog(regexp.MustCompile("Planned stop begins"))
		p.signal(syscall.SIGTERM)
		if code := p.exit(); code != 1 {
			t.Errorf("%s exits with %d after the second signal", p.name, code)
		}
	}
	if r := <-answered; r.err == nil {
		oneOf(t, r, "unknown", "failed")
	}
	s.noDouble()
}

// TestBackendServerLeaves: a backend server leaves as planned while it runs
// tasks of a job whose backlog would go on filling its slots. From the agent's
// answer on it gets nothing new; what it runs is answered; the rest of the job
// runs elsewhere, and the answer is complete.
func TestBackendServerLeaves(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 1})
	leaver := s.backends[0]
	id := s.jobAt("leave", s.agents[0])
	const tasks = 10 * slots
	answered := s.entry(0).later(job(id, tasks, 300*time.Millisecond))
	await(t, "tasks at the leaving backend server", func() bool { return leaver.Running() > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	defer cancel()
	if err := leaver.Close(ctx); err != nil {
		t.Fatal(err)
	}
	after := leaver.TotalStarts()
	complete(t, <-answered, id, tasks)
	s.onceEach(id, tasks)
	next := s.jobAt("after", s.agents[0])
	complete(t, s.entry(0).submit(job(next, tasks, 0)), next, tasks)
	if n := leaver.TotalStarts(); n != after {
		t.Errorf("%d tasks were started at a backend server that had left", n-after)
	}
}

// TestRepliesOfBackendServersLost: every connection that carries a start breaks
// after the task has ended, in place of the reply. The agents ask what became
// of the tasks and start none again, so the caller gets its whole answer.
func TestRepliesOfBackendServersLost(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 2})
	for _, b := range s.backends {
		b.SetFaults(backendserver.Faults{DropReplies: 1})
	}
	const tasks = 4 * slots
	id := s.jobAt("dropped", s.agents[1])
	body := job(id, tasks, 20*time.Millisecond)
	complete(t, s.entry(0).submit(body), id, tasks)
	complete(t, s.entry(1).submit(body), id, tasks)
	s.onceEach(id, tasks)
	once := `{"id":"quote-7","repeatable":false,"task":{"payload":{"work_ms":20,"echo":"quoted"}}}`
	for i := range s.entries {
		if a := oneOf(t, s.entry(i).request(once), "complete"); string(a.Results[0]) != `"quoted"` {
			t.Errorf("the quote is %s", a.Results[0])
		}
	}
	if n := s.started("quote-7"); n != 1 {
		t.Errorf("the quote was started %d times", n)
	}
}

// TestStartsLostBeforeTheyRun: half of the connections that carry a start break
// before the task has begun. The agent can't tell this from a lost reply: it
// has the ID barred at the backend server, and only then may the task be placed
// anew. A job is complete with each task started once, or has failed; no task
// is started twice, and "not run" is said only of a job that started nothing.
func TestStartsLostBeforeTheyRun(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 1})
	for _, b := range s.backends {
		b.SetFaults(backendserver.Faults{DropRequests: 0.5})
	}
	const tasks = 2 * slots
	for _, home := range s.agents {
		id := s.jobAt("half", home)
		r := s.entry(0).submit(job(id, tasks, 10*time.Millisecond))
		switch a := oneOf(t, r, "complete", "failed", "not_run"); a.Outcome {
		case "complete":
			complete(t, r, id, tasks)
			s.onceEach(id, tasks)
		case "not_run":
			if n := s.started(id); n != 0 {
				t.Errorf("%s was answered not_run, and %d tasks were started", id, n)
			}
		}
	}
	s.idle()
	s.noDouble()
}

// TestStandinBackendProcessStops: the stand-in of a backend server as a process
// of its own is stopped in the middle of a job. It leaves as planned: its tasks
// are answered, the process exits with 0 and the job is complete.
func TestStandinBackendProcessStops(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 1})
	a := s.startAgent("agent-4", domains[0])
	b := startProcess(t, "backend-4", s.write("backend-4", settings{
		"role": "standin-backend", "name": "backend-4",
		"listen":          settings{"http": "127.0.0.1:0"},
		"standin_backend": settings{"agent_url": "http://" + a.http, "services": []string{service}},
	}))
	backend := b.awaitLog(regexp.MustCompile(`stand-in serves" backend="([^"]+)"`))[1]
	s.awaitAgents(s.entries[0], 4)
	id := s.jobAt("fourth", s.agents[0])
	const tasks = 4 * slots
	answered := s.entry(0).later(job(id, tasks, long))
	own := &client{t: t, base: "http://" + a.http, http: &http.Client{Timeout: hang}}
	b.await("running a task", func() bool {
		return !strings.Contains(own.get("/v1/backends/"+backend).body, `"running":0`)
	})
	if code := b.stop(); code != 0 {
		t.Errorf("%s exits with %d", b.name, code)
	}
	complete(t, <-answered, id, tasks)
	if code := a.stop(); code != 0 {
		t.Errorf("%s exits with %d", a.name, code)
	}
	s.noDouble()
}
