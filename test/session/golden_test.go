package session

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	jobsPath     = "/v1/services/" + service + "/jobs"
	requestsPath = "/v1/services/" + service + "/requests"
)

// session is the golden session: a system, what was seen of it, and the two
// entries to ask.
type session struct {
	*system
	tr       *transcript
	one, two *process
}

// TestGoldenSession drives a whole system as its operators and callers do, from
// the first apply to the planned stop of every process, and compares all that
// they see with testdata/session.golden.
func TestGoldenSession(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{entries: 2})
	g := &session{system: s, tr: &transcript{t: t}, one: s.entries[0], two: s.entries[1]}
	g.programs()
	g.declarations()
	g.jobs()
	g.requests()
	g.waitingJob()
	g.badCalls()
	g.drain()
	g.stop()
	s.noDouble()
	g.tr.compare("session.golden")
}

func (g *session) call(p *process, method, path, body string, header ...string) reply {
	return g.tr.call(g.clientOf(p), p.name, method, path, body, header...)
}

func (g *session) noteStarts(id string) {
	g.tr.note("starts of %s at all backend servers: %d", id, g.started(id))
}

func (g *session) programs() {
	g.tr.daemon("-version", "-version")
	g.tr.daemon("-check -settings entry-1.json", "-check", "-settings", filepath.Join(g.dir, "entry-1.json"))
	g.tr.daemon("-check -settings agent-1.json", "-check", "-settings", filepath.Join(g.dir, "agent-1.json"))
	g.call(g.one, http.MethodGet, "/healthz", "")
	g.call(g.one, http.MethodGet, "/readyz", "")
	g.call(g.agents[0], http.MethodGet, "/healthz", "")
	g.call(g.agents[0], http.MethodGet, "/readyz", "")
}

func (g *session) declarations() {
	g.tr.cli(g.one, "check", "declaration.json", "job.json", "quote.json")
	g.tr.cli(g.one, "show", operator)
	g.tr.cli(g.one, "diff", "declaration.json")
	g.call(g.one, http.MethodPost, jobsPath, job("too-early", 1, 0))
	g.tr.cli(g.one, "apply", "declaration.json")
	g.awaitVersion(1)
	g.tr.cli(g.two, "show", operator)
	g.tr.cli(g.two, "diff", "declaration.json")
	g.tr.cli(g.two, "diff", "declaration-2.json")
	g.tr.cli(g.two, "apply", "-base", "0", "declaration-2.json")
	g.tr.cli(g.two, "apply", "-output", "json", "declaration-2.json")
	version := g.clientOf(g.two).status().Declarations[0].Version
	g.awaitVersion(version)
	stale := string(declarationFile(g.t, "declaration.json"))
	g.call(g.one, http.MethodPut, "/v1/declarations/haneul", stale, "If-Match", `"1"`)
	g.call(g.one, http.MethodPut, "/v1/declarations/haneul", stale)
	g.call(g.one, http.MethodPut, "/v1/declarations/haneul", `{"operator":"haneul"}`, "If-Match", `"2"`)
	g.call(g.one, http.MethodPut, "/v1/declarations/gridlog", stale, "If-None-Match", "*")
	g.call(g.one, http.MethodGet, "/v1/declarations/haneul", "")
	g.tr.cli(g.one, "history", operator)
	g.awaitIdleView(g.one, 3)
	g.tr.cli(g.one, "status")
}

func (g *session) jobs() {
	g.tr.cli(g.one, "submit", "job.json")
	g.noteStarts("intake-0917")
	g.tr.cli(g.two, "submit", "-output", "json", "job.json")
	g.noteStarts("intake-0917")
	body := `{"id":"eyes-1","tasks":[{"payload":{"work_ms":30,"echo":"blue"}},{"payload":[1,2.50,null]}]}`
	g.call(g.one, http.MethodPost, jobsPath, body)
	g.call(g.two, http.MethodPost, jobsPath, body)
	g.call(g.two, http.MethodPost, jobsPath, strings.Replace(body, "blue", "green", 1))
	g.call(g.one, http.MethodGet, jobsPath+"/eyes-1", "")
	g.call(g.two, http.MethodGet, jobsPath+"/never-seen", "")
	g.noteStarts("eyes-1")
	key := `{"tasks":[{"payload":{"echo":"by header"}}]}`
	g.call(g.one, http.MethodPost, jobsPath, key, "Idempotency-Key", "wigs-1")
	g.call(g.two, http.MethodPost, jobsPath, key, "Idempotency-Key", "wigs-1")
	g.noteStarts("wigs-1")
	failing := `{"id":"broken-1","tasks":[{"payload":{"work_ms":20,"fail":"out of glue"}}]}`
	g.call(g.one, http.MethodPost, jobsPath, failing)
	g.call(g.two, http.MethodPost, jobsPath, failing)
	g.noteStarts("broken-1")
	g.call(g.one, http.MethodDelete, jobsPath+"/eyes-1", "")
	g.tr.cli(g.two, "cancel", service, "never-seen")
}

func (g *session) requests() {
	g.tr.cli(g.one, "submit", "quote.json")
	g.tr.cli(g.two, "submit", "quote.json")
	g.noteStarts("quote-0058")
	once := `{"id":"quote-2","repeatable":false,"task":{"payload":{"echo":{"total":1}}}}`
	g.call(g.one, http.MethodPost, requestsPath, once)
	g.call(g.two, http.MethodPost, requestsPath, once)
	g.call(g.two, http.MethodPost, requestsPath, strings.Replace(once, `"total":1`, `"total":2`, 1))
	g.noteStarts("quote-2")
	// How often a repeatable request is started is the entry's choice.
	g.call(g.one, http.MethodPost, requestsPath, `{"id":"look-1","repeatable":true,"task":{"payload":{"echo":"seen"}}}`)
}

// waitingJob queries and cancels a job that would run for long.
func (g *session) waitingJob() {
	body := job("long-1", 2, time.Hour)
	submitted := g.clientOf(g.one).later(body)
	g.awaitStarted("long-1", 2)
	g.call(g.two, http.MethodGet, jobsPath+"/long-1", "")
	g.call(g.two, http.MethodDelete, jobsPath+"/long-1", "")
	g.tr.record(g.one.name, http.MethodPost, jobsPath, body, nil, <-submitted)
	g.idle()
	g.call(g.one, http.MethodPost, jobsPath, body)
	g.tr.cli(g.one, "cancel", service, "long-1")
	g.noteStarts("long-1")
}

func (g *session) badCalls() {
	for _, body := range []string{
		``,
		`{`,
		`{"id":"bad-1"}`,
		`{"id":"bad-1","tasks":[]}`,
		`{"id":"bad-1","tasks":[{}]}`,
		`{"id":"bad-1","tasks":[{"payload":1}],"priority":3}`,
		`{"id":"bad-1","tasks":[{"payload":1,"cores":-1}]}`,
		`{"id":"bad-1","id":"bad-2","tasks":[{"payload":1}]}`,
		`{"id":"bad-1","tasks":[{"payload":1}]} trailing`,
		`{"tasks":[{"payload":1}]}`,
		`{"id":"bad-1","tasks":[{"payload":1,"memory_mb":1048576}]}`,
		job("bad-1", 1001, 0),
	} {
		g.call(g.one, http.MethodPost, jobsPath, body)
	}
	g.call(g.one, http.MethodPost, requestsPath, `{"id":"bad-1","repeatable":"yes","task":{"payload":1}}`)
	g.call(g.one, http.MethodPost, jobsPath, job("bad-1", 1, 0), "Idempotency-Key", "other")
	g.call(g.one, http.MethodPost, "/v1/services/nobody/jobs", job("bad-1", 1, 0))
	g.call(g.one, http.MethodPut, jobsPath, "{}")
	g.call(g.one, http.MethodGet, "/v2/anything", "")
	g.call(g.agents[0], http.MethodPut, "/v1/backends/b1", `{"url":"http://127.0.0.1:9000","slots":0}`)
	g.tr.cli(g.one, "submit", "declaration.json")
	g.tr.cli(g.one, "apply", "-base", "-5", "declaration.json")
	g.noteStarts("bad-1")
}

// drain takes an agent out of service while a job has tasks there.
func (g *session) drain() {
	const tasks = 3 * slots
	agent, backend := g.agents[2], g.backends[2]
	id := g.jobAt("night-shift", g.agents[0])
	submitted := g.entry(0).later(job(id, tasks, 400*time.Millisecond))
	await(g.t, "a task at the agent to be drained", func() bool { return backend.Running() > 0 })
	g.call(agent, http.MethodPost, "/v1/drain", "")
	complete(g.t, <-submitted, id, tasks)
	g.tr.note("the job that had tasks at agent-3 is complete, %d starts", g.started(id))
	g.tr.note("agent-3 exits with %d", agent.exit())
	before := backend.TotalStarts()
	after := g.jobAt("next-day", g.agents[0])
	complete(g.t, g.entry(1).submit(job(after, tasks, 10*time.Millisecond)), after, tasks)
	g.tr.note("starts at agent-3's backend server since: %d", backend.TotalStarts()-before)
	g.awaitIdleView(g.one, 2)
	g.tr.cli(g.one, "status")
}

// stop ends every process as planned.
func (g *session) stop() {
	for _, e := range g.entries {
		g.tr.note("SIGTERM: %s exits with %d", e.name, e.stop())
	}
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	defer cancel()
	for i, b := range g.backends[:2] {
		g.tr.note("backend server %d leaves: %s", i+1, verdict(b.Close(ctx)))
	}
	for _, a := range g.agents[:2] {
		a.signal(syscall.SIGTERM)
	}
	for _, a := range g.agents[:2] {
		g.tr.note("SIGTERM: %s exits with %d", a.name, a.exit())
	}
}

func verdict(err error) string {
	if err == nil {
		return "done"
	}
	return fmt.Sprint(err)
}
