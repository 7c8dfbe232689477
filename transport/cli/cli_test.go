package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// entry is a fake entry: it answers "METHOD path" in turn, the last one for
// good, and keeps what it was asked.
type entry struct {
	mu      sync.Mutex
	answers map[string][]answer // guarded by mu
	asked   []string            // guarded by mu
	bodies  []string            // guarded by mu
}

// answer is one reply. A status of zero breaks the connection off.
type answer struct {
	status int
	etag   string
	body   string
}

func (e *entry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	what := req.Method + " " + req.URL.EscapedPath()
	e.asked = append(e.asked, strings.TrimSpace(what+" "+req.Header.Get("If-Match")+req.Header.Get("If-None-Match")))
	e.bodies = append(e.bodies, string(body))
	var a answer
	if queue := e.answers[what]; len(queue) > 0 {
		a = queue[0]
		e.answers[what] = queue[min(1, len(queue)-1):]
	}
	if a.status == 0 {
		panic(http.ErrAbortHandler)
	}
	if a.etag != "" {
		w.Header().Set("ETag", a.etag)
	}
	w.Header().Set("Content-Type", "application/json")
	if a.status >= 400 {
		w.Header().Set("Content-Type", "application/problem+json")
	}
	w.WriteHeader(a.status)
	io.WriteString(w, a.body)
}

// desk runs command lines against an entry.
type desk struct {
	is     *is.I
	dir    string
	url    string
	out    bytes.Buffer
	err    bytes.Buffer
	sleeps []time.Duration
}

func (e *entry) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked
}

func newDesk(t *testing.T, e *entry) *desk {
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	return &desk{is: is.New(t), dir: t.TempDir(), url: srv.URL}
}

func (d *desk) file(name, content string) string {
	path := filepath.Join(d.dir, name)
	d.is.NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

const patience = 5 // waits until the desk's timeout

func (d *desk) run(args ...string) int {
	d.out.Reset()
	d.err.Reset()
	d.sleeps = nil
	address := "-addr"
	if args[0] == "measure" {
		address = "-target"
	}
	return Run(context.Background(), append(args, address, d.url), Env{
		Stdout: &d.out, Stderr: &d.err, Version: "test",
		Sleep: func(_ context.Context, wait time.Duration) error {
			d.sleeps = append(d.sleeps, wait)
			if len(d.sleeps) > patience {
				return context.DeadlineExceeded
			}
			return nil
		},
	})
}

const (
	declarationFile = `{"operator":"haneul","quota":{"tasks_in_flight":9,"tasks_per_second":9},"services":[]} // ours
`

	jobFile    = `{"service":"bench-desk","kind":"job","id":"j1","tasks":[{"payload": {"a": 1}}]}`
	postJob    = "POST /v1/services/bench-desk/jobs"
	complete   = `{"id":"j1","outcome":"complete","results":["mended"]}`
	getHaneul  = "GET /v1/declarations/haneul"
	putHaneul  = "PUT /v1/declarations/haneul"
	histHaneul = "GET /v1/declarations/haneul/history"
)

func problem(outcome, reason string, extra string) string {
	return fmt.Sprintf(`{"title":"T","status":503,"outcome":%q,"reason":%q%s}`, outcome, reason, extra)
}

func TestSubmit(t *testing.T) {
	e := &entry{answers: map[string][]answer{postJob: {{200, "", complete}}}}
	d := newDesk(t, e)
	d.is.Equal(d.run("submit", d.file("j.json", jobFile)), ExitDone)
	d.is.Equal(d.out.String(), "j1: complete\n0\t\"mended\"\n")
	// The payload goes out as it stands in the file.
	d.is.Equal(e.bodies[0], `{"id":"j1","tasks":[{"payload":{"a": 1}}]}`)

	d.is.Equal(d.run("submit", "-output", "json", d.file("j.json", jobFile)), ExitDone)
	d.is.Equal(d.out.String(), complete+"\n")
}

// Each outcome has its exit code, and what is certain stays apart from what
// isn't: a script that resubmits under a new id on 1 must never do so on 3.
func TestSubmitExitCodes(t *testing.T) {
	cases := []struct {
		name  string
		reply []answer
		code  int
		asked int
	}{
		{"not run", []answer{{503, "", problem("not_run", "never_runnable", "")}}, ExitRefused, 1},
		{"failed", []answer{{502, "", problem("failed", "task_failed", `,"retry_after_ms":5`)}}, ExitRefused, 1},
		{"unknown", []answer{{503, "", problem("unknown", "owner_lost", "")}}, ExitUnknown, 1},
		{"lost for good", []answer{{}}, ExitUnknown, defaultMaxAttempts},
		{"lost once", []answer{{}, {200, "", complete}}, ExitDone, 2},
		{"busy once", []answer{{429, "", problem("not_run", "quota", `,"retry_after_ms":700`)}, {200, "", complete}}, ExitDone, 2},
		// The lost try may still be granted after the second one was refused.
		{"lost, then not run", []answer{{}, {429, "", problem("not_run", "quota", "")}}, ExitUnknown, 2},
		{"another job's answer", []answer{{200, "", `{"id":"j2","outcome":"complete","results":[1]}`}}, ExitUnknown, defaultMaxAttempts},
		{"short answer", []answer{{200, "", `{"id":"j1","outcome":"complete","results":[]}`}}, ExitUnknown, defaultMaxAttempts},
		{"pending answer", []answer{{200, "", `{"id":"j1","outcome":"pending"}`}}, ExitUnknown, defaultMaxAttempts},
		{"garbage", []answer{{200, "", `<html>`}}, ExitUnknown, defaultMaxAttempts},
		{"unknown outcome word", []answer{{503, "", `{"outcome":"maybe"}`}}, ExitUnknown, defaultMaxAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &entry{answers: map[string][]answer{postJob: c.reply}}
			d := newDesk(t, e)
			d.is.Equal(d.run("submit", d.file("j.json", jobFile)), c.code)
			d.is.Equal(len(e.requests()), c.asked)
			if c.name == "busy once" {
				d.is.Equal(d.sleeps, []time.Duration{700 * time.Millisecond}) // as told
			}
		})
	}
}

func TestNothingSent(t *testing.T) {
	d := newDesk(t, &entry{})
	d.url = "127.0.0.1:1"
	d.is.Equal(d.run("submit", "-tries", "1", d.file("j.json", jobFile)), ExitRefused)
	d.is.True(strings.Contains(d.err.String(), "not sent"))
}

func TestApplyReadsTheBase(t *testing.T) {
	for have, condition := range map[answer]string{
		{200, `"17"`, "{}"}: `"17"`,
		{404, "", problem("not_run", "no_declaration", "")}: "*",
	} {
		e := &entry{answers: map[string][]answer{
			getHaneul: {have},
			putHaneul: {{200, `"18"`, `{"operator":"haneul","version":18,"outcome":"complete"}`}},
		}}
		d := newDesk(t, e)
		d.is.Equal(d.run("apply", d.file("d.json", declarationFile)), ExitDone)
		d.is.Equal(d.out.String(), "haneul is at version 18\n")
		d.is.Equal(e.requests(), []string{getHaneul, putHaneul + " " + condition})
		d.is.Equal(e.bodies[1], declarationFile)
	}
}

// The reply to an apply is lost after the record went into the log. The
// command reads until it finds who replaced the base: it never applies twice,
// and never claims either way without having read it.
func TestApplySettlesALostReply(t *testing.T) {
	history := func(next string) []answer {
		return []answer{{200, "", `{"entries":[{"version":17,"base":3}` + next + `]}`}}
	}
	next := `,{"version":21,"base":17},{"version":22,"base":21}`
	sum := sha256.Sum256([]byte(declarationFile))
	digest := func(d string) string {
		return strings.Replace(next, "}", fmt.Sprintf(`,"digest":%q}`, d), 1)
	}
	inForce := func(version, raw string) []answer { return []answer{{200, version, raw}} }
	cases := []struct {
		name    string
		put     answer
		history []answer
		get     []answer
		code    int
		out     string
	}{
		{"won", answer{}, append([]answer{{}, history("")[0]}, history(digest(hex.EncodeToString(sum[:])))...), inForce(`"17"`, "old"), ExitDone, "haneul is at version 21\n"},
		{"won, by the entry's word unknown", answer{503, "", problem("unknown", "apply_unknown", "")}, history(next), inForce(`"21"`, declarationFile), ExitDone, "haneul is at version 21\n"},
		{"lost the race", answer{}, history(digest("other")), nil, ExitRefused, ""},
		{"lost the race, seen in force", answer{}, history(next), inForce(`"21"`, "other"), ExitRefused, ""},
		{"replaced again since", answer{}, history(next), inForce(`"22"`, "other"), ExitUnknown, ""},
		{"no news", answer{}, history(""), inForce(`"17"`, "old"), ExitUnknown, ""},
		{"refused for certain", answer{409, "", problem("not_run", "lost_race", "")}, nil, nil, ExitRefused, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &entry{answers: map[string][]answer{putHaneul: {c.put}, histHaneul: c.history, getHaneul: c.get}}
			d := newDesk(t, e)
			d.is.Equal(d.run("apply", "-base", "17", d.file("d.json", declarationFile)), c.code)
			d.is.Equal(d.out.String(), c.out)
			d.is.Equal(strings.Count(strings.Join(e.requests(), "\n"), "PUT"), 1)
		})
	}
}

func TestStatus(t *testing.T) {
	d := newDesk(t, &entry{answers: map[string][]answer{"GET /v1/status": {{200, "", testdata(t, "status.json")}}}})
	d.is.Equal(d.run("status"), ExitDone)
	d.is.Equal(d.out.String(), testdata(t, "status.golden"))
}

func testdata(t *testing.T, name string) string {
	b, err := os.ReadFile(filepath.Join("testdata", name))
	is.New(t).NoErr(err)
	return string(b)
}

func TestCancel(t *testing.T) {
	const path = "DELETE /v1/services/bench-desk/jobs/a%2Fb"
	e := &entry{answers: map[string][]answer{path: {
		{200, "", `{"id":"a/b","outcome":"failed","reason":"cancelled"}`},
		{200, "", `{"id":"a/b","outcome":"complete","results":[1]}`},
	}}}
	d := newDesk(t, e)
	d.is.Equal(d.run("cancel", "bench-desk", "a/b"), ExitDone)
	d.is.Equal(d.out.String(), "a/b: cancelled (failed)\n")
	d.is.Equal(d.run("cancel", "bench-desk", "a/b"), ExitRefused)
	d.is.Equal(d.out.String(), "a/b: too late, it is complete\n")
}

// A caller that doesn't wait is answered once its job is accepted, and asks for
// the results later.
func TestSubmitWithoutWaiting(t *testing.T) {
	const get = "GET /v1/services/bench-desk/jobs/j1"
	e := &entry{answers: map[string][]answer{
		postJob: {{}, {200, "", `{"id":"j1","outcome":"pending"}`}},
		get:     {{200, "", `{"id":"j1","outcome":"pending"}`}, {200, "", complete}},
	}}
	d := newDesk(t, e)
	d.is.Equal(d.run("submit", "-wait=false", d.file("j.json", jobFile)), ExitDone)
	d.is.Equal(d.out.String(), "j1: pending\n")
	d.is.Equal(len(e.requests()), 2) // the lost reply was asked for again under the same id
	d.is.Equal(d.run("state", "bench-desk", "j1"), ExitDone)
	d.is.Equal(d.out.String(), "j1: pending\n")
	d.is.Equal(d.run("state", "bench-desk", "j1"), ExitDone)
	d.is.Equal(d.out.String(), "j1: complete\n0\t\"mended\"\n")
}

func TestDiff(t *testing.T) {
	e := &entry{answers: map[string][]answer{getHaneul: {{200, `"17"`, declarationFile}}}}
	d := newDesk(t, e)
	d.is.Equal(d.run("diff", d.file("d.json", declarationFile)), ExitDone)
	d.is.Equal(diffLines([]string{"a", "b", "c", "d"}, []string{"a", "x", "c", "d", "e"}), []string{"- b", "+ x", "+ e"})
	d.is.Equal(diffLines(nil, []string{"a"}), []string{"+ a"})
}

func TestUsage(t *testing.T) {
	d := newDesk(t, &entry{})
	for _, args := range [][]string{
		{"fly"}, {"apply"}, {"apply", "a", "b"}, {"status", "-output", "xml"}, {"status", "-nope"}, {"submit", "no-such-file"},
		{"cancel", "bench-desk"}, {"cancel", "bench-desk", "a\nb"}, {"apply", d.file("d.json", "{}")},
		{"submit", d.file("j.json", `{"kind":"job"}`)}, {"status", "-ca", d.file("ca.pem", "none")},
	} {
		d.is.Equal(d.run(args...), ExitUsage) // args
	}
	d.is.Equal(Run(context.Background(), nil, Env{Stdout: &d.out, Stderr: &d.err}), ExitUsage)
}

// The files that the users start from must pass, and a fault must be named.
func TestCheck(t *testing.T) {
	d := newDesk(t, &entry{})
	examples, err := filepath.Glob("../../examples/*/*.json")
	d.is.NoErr(err)
	d.is.True(len(examples) > 0)
	d.is.Equal(d.run(append([]string{"check"}, examples...)...), ExitDone)

	bad := d.file("bad.json", `{"kind":"job","service":"s","id":"j","tasks":[{"payload":1,"gpu":2}]}`)
	worse := d.file("worse.json", "{\n\"operator\": \"haneul\", \"colour\": 1}")
	d.is.Equal(d.run("check", bad, worse), ExitRefused)
	d.is.True(strings.Contains(d.out.String(), `bad.json: unknown field "tasks[0].gpu"`))
	d.is.True(strings.Contains(d.out.String(), `worse.json:2: colour`))
}

func TestTLSWithOwnAuthority(t *testing.T) {
	e := &entry{answers: map[string][]answer{"GET /v1/status": {{200, "", `{"node":"entry-1"}`}}}}
	d := newDesk(t, e)
	srv := httptest.NewTLSServer(e)
	t.Cleanup(srv.Close)
	d.url = srv.Listener.Addr().String()
	ca := d.file("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw})))
	d.is.Equal(d.run("status", "-ca", ca, "-token-file", d.file("token", "t\n")), ExitDone)
	d.url = "https://" + d.url
	d.is.Equal(d.run("status"), ExitRefused) // an authority nobody knows
}

// Guards against a drain of the wrong domain, and against an operator who takes an open one
// for certain.
func TestDrain(t *testing.T) {
	const put, del = "PUT /v1/drains/iksan", "DELETE /v1/drains/iksan"
	e := &entry{answers: map[string][]answer{
		put:                            {{200, "", `{"domain":"iksan","drained":true,"version":3,"outcome":"complete"}`}},
		del:                            {{503, "", problem("unknown", "apply_unknown", "")}},
		"GET /v1/drains":               {{200, "", `{"domains":[{"domain":"gunsan","drained":false,"agents":4},{"domain":"iksan","drained":true,"agents":3}]}`}},
		"GET /v1/drains/iksan/history": {{200, "", `{"domain":"iksan","entries":[{"version":3,"drained":true,"by":"entry-1","at":"2026-01-02T03:04:05Z"}]}`}},
		"PUT /v1/drains/mars":          {{404, "", problem("not_run", "unknown_domain", "")}},
	}}
	d := newDesk(t, e)
	d.is.Equal(d.run("drain", "iksan"), ExitDone)
	d.is.Equal(d.out.String(), "iksan is drained (version 3)\n")
	d.is.Equal(d.run("undrain", "iksan"), ExitUnknown)
	d.is.Equal(d.run("drain"), ExitDone)
	d.is.Equal(d.out.String(), "gunsan\tin use\t4 agents\niksan\tdrained\t3 agents\n")
	d.is.Equal(d.run("drain", "-history", "iksan"), ExitDone)
	d.is.Equal(d.out.String(), "3\tdrained\t2026-01-02T03:04:05Z\tentry-1\n")
	d.is.Equal(d.run("drain", "mars"), ExitRefused)
	d.is.Equal(d.run("drain", "-history"), ExitUsage)
	d.is.Equal(d.run("undrain"), ExitUsage)
}
