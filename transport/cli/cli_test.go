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

// fakeEntry is a fake entry. It returns the answers for "METHOD path" in their order, repeats the
// last one, and records the requests.
type fakeEntry struct {
	mu       sync.Mutex
	answers  map[string][]cannedReply // guarded by mu
	received []string                 // guarded by mu
	bodies   []string                 // guarded by mu
}

// cannedReply is one response of a fakeEntry. With the status zero, the connection is aborted.
type cannedReply struct {
	status int
	etag   string
	body   string
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	what := req.Method + " " + req.URL.EscapedPath()
	e.received = append(e.received, strings.TrimSpace(what+" "+req.Header.Get("If-Match")+req.Header.Get("If-None-Match")))
	e.bodies = append(e.bodies, string(body))
	var a cannedReply
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

// testCLI runs command lines against a fakeEntry and captures their output.
type testCLI struct {
	is     *is.I
	dir    string
	url    string
	out    bytes.Buffer
	err    bytes.Buffer
	sleeps []time.Duration
}

func (e *fakeEntry) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received
}

func newTestCLI(t *testing.T, e *fakeEntry) *testCLI {
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	return &testCLI{is: is.New(t), dir: t.TempDir(), url: srv.URL}
}

func (cli *testCLI) file(name, content string) string {
	path := filepath.Join(cli.dir, name)
	cli.is.NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

const maxSleeps = 5 // number of calls of Env.Sleep before it reports a timeout

func (cli *testCLI) run(args ...string) int {
	cli.out.Reset()
	cli.err.Reset()
	cli.sleeps = nil
	address := "-addr"
	if args[0] == "measure" {
		address = "-target"
	}
	return Run(context.Background(), append(args, address, cli.url), Env{
		Stdout: &cli.out, Stderr: &cli.err, Version: "test",
		Sleep: func(_ context.Context, wait time.Duration) error {
			cli.sleeps = append(cli.sleeps, wait)
			if len(cli.sleeps) > maxSleeps {
				return context.DeadlineExceeded
			}
			return nil
		},
	})
}

const (
	declarationFile = `{"operator":"haneul","quota":{"tasks_in_flight":9,"tasks_per_second":9},"services":[]} // ours
`

	jobFile        = `{"service":"bench-desk","kind":"job","id":"j1","tasks":[{"payload": {"a": 1}}]}`
	postJob        = "POST /v1/services/bench-desk/jobs"
	complete       = `{"id":"j1","outcome":"complete","results":["mended"]}`
	getDeclaration = "GET /v1/declarations/haneul"
	putDeclaration = "PUT /v1/declarations/haneul"
	getHistory     = "GET /v1/declarations/haneul/history"
)

func problem(outcome, reason string, extra string) string {
	return fmt.Sprintf(`{"title":"T","status":503,"outcome":%q,"reason":%q%s}`, outcome, reason, extra)
}

func TestSubmit(t *testing.T) {
	e := &fakeEntry{answers: map[string][]cannedReply{postJob: {{200, "", complete}}}}
	cli := newTestCLI(t, e)
	cli.is.Equal(cli.run("submit", cli.file("j.json", jobFile)), ExitDone)
	cli.is.Equal(cli.out.String(), "j1: complete\n0\t\"mended\"\n")
	// The payload is sent unchanged.
	cli.is.Equal(e.bodies[0], `{"id":"j1","tasks":[{"payload":{"a": 1}}]}`)

	cli.is.Equal(cli.run("submit", "-output", "json", cli.file("j.json", jobFile)), ExitDone)
	cli.is.Equal(cli.out.String(), complete+"\n")
}

// Guards against exit codes that don't distinguish a certain failure from an unknown outcome. A script
// that resubmits under a new id on 1 must never do so on 3 because the job may have run.
func TestSubmitExitCodes(t *testing.T) {
	cases := []struct {
		name  string
		reply []cannedReply
		code  int
		asked int
	}{
		{"not run", []cannedReply{{503, "", problem("not_run", "never_runnable", "")}}, ExitRefused, 1},
		{"failed", []cannedReply{{502, "", problem("failed", "task_failed", `,"retry_after_ms":5`)}}, ExitRefused, 1},
		{"unknown", []cannedReply{{503, "", problem("unknown", "owner_lost", "")}}, ExitUnknown, 1},
		{"lost for good", []cannedReply{{}}, ExitUnknown, defaultMaxAttempts},
		{"lost once", []cannedReply{{}, {200, "", complete}}, ExitDone, 2},
		{"busy once", []cannedReply{{429, "", problem("not_run", "quota", `,"retry_after_ms":700`)}, {200, "", complete}}, ExitDone, 2},
		// The attempt whose reply was lost may still be accepted after the second one was
		// refused.
		{"lost, then not run", []cannedReply{{}, {429, "", problem("not_run", "quota", "")}}, ExitUnknown, 2},
		{"another job's answer", []cannedReply{{200, "", `{"id":"j2","outcome":"complete","results":[1]}`}}, ExitUnknown, defaultMaxAttempts},
		{"short answer", []cannedReply{{200, "", `{"id":"j1","outcome":"complete","results":[]}`}}, ExitUnknown, defaultMaxAttempts},
		{"pending answer", []cannedReply{{200, "", `{"id":"j1","outcome":"pending"}`}}, ExitUnknown, defaultMaxAttempts},
		{"garbage", []cannedReply{{200, "", `<html>`}}, ExitUnknown, defaultMaxAttempts},
		{"unknown outcome word", []cannedReply{{503, "", `{"outcome":"maybe"}`}}, ExitUnknown, defaultMaxAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &fakeEntry{answers: map[string][]cannedReply{postJob: c.reply}}
			cli := newTestCLI(t, e)
			cli.is.Equal(cli.run("submit", cli.file("j.json", jobFile)), c.code)
			cli.is.Equal(len(e.requests()), c.asked)
			if c.name == "busy once" {
				cli.is.Equal(cli.sleeps, []time.Duration{700 * time.Millisecond}) // the retry_after_ms of the refusal
			}
		})
	}
}

func TestNothingSent(t *testing.T) {
	cli := newTestCLI(t, &fakeEntry{})
	cli.url = "127.0.0.1:1"
	cli.is.Equal(cli.run("submit", "-tries", "1", cli.file("j.json", jobFile)), ExitRefused)
	cli.is.True(strings.Contains(cli.err.String(), "not sent"))
}

func TestApplyReadsTheBase(t *testing.T) {
	for have, condition := range map[cannedReply]string{
		{200, `"17"`, "{}"}: `"17"`,
		{404, "", problem("not_run", "no_declaration", "")}: "*",
	} {
		e := &fakeEntry{answers: map[string][]cannedReply{
			getDeclaration: {have},
			putDeclaration: {{200, `"18"`, `{"operator":"haneul","version":18,"outcome":"complete"}`}},
		}}
		cli := newTestCLI(t, e)
		cli.is.Equal(cli.run("apply", cli.file("d.json", declarationFile)), ExitDone)
		cli.is.Equal(cli.out.String(), "haneul is at version 18\n")
		cli.is.Equal(e.requests(), []string{getDeclaration, putDeclaration + " " + condition})
		cli.is.Equal(e.bodies[1], declarationFile)
	}
}

// The reply to an apply is lost after the record was appended to the log. The command polls the
// history until it shows which declaration replaced the base. It never applies twice, and never
// reports success or failure without that.
func TestApplyConfirmsAfterALostReply(t *testing.T) {
	history := func(next string) []cannedReply {
		return []cannedReply{{200, "", `{"entries":[{"version":17,"base":3}` + next + `]}`}}
	}
	next := `,{"version":21,"base":17},{"version":22,"base":21}`
	sum := sha256.Sum256([]byte(declarationFile))
	digest := func(d string) string {
		return strings.Replace(next, "}", fmt.Sprintf(`,"digest":%q}`, d), 1)
	}
	inForce := func(version, raw string) []cannedReply { return []cannedReply{{200, version, raw}} }
	cases := []struct {
		name    string
		put     cannedReply
		history []cannedReply
		get     []cannedReply
		code    int
		out     string
	}{
		{"won", cannedReply{}, append([]cannedReply{{}, history("")[0]}, history(digest(hex.EncodeToString(sum[:])))...), inForce(`"17"`, "old"), ExitDone, "haneul is at version 21\n"},
		{"won, by the entry's word unknown", cannedReply{503, "", problem("unknown", "apply_unknown", "")}, history(next), inForce(`"21"`, declarationFile), ExitDone, "haneul is at version 21\n"},
		{"lost the race", cannedReply{}, history(digest("other")), nil, ExitRefused, ""},
		{"lost the race, seen in force", cannedReply{}, history(next), inForce(`"21"`, "other"), ExitRefused, ""},
		{"replaced again since", cannedReply{}, history(next), inForce(`"22"`, "other"), ExitUnknown, ""},
		{"no news", cannedReply{}, history(""), inForce(`"17"`, "old"), ExitUnknown, ""},
		{"refused for certain", cannedReply{409, "", problem("not_run", "lost_race", "")}, nil, nil, ExitRefused, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &fakeEntry{answers: map[string][]cannedReply{putDeclaration: {c.put}, getHistory: c.history, getDeclaration: c.get}}
			cli := newTestCLI(t, e)
			cli.is.Equal(cli.run("apply", "-base", "17", cli.file("d.json", declarationFile)), c.code)
			cli.is.Equal(cli.out.String(), c.out)
			cli.is.Equal(strings.Count(strings.Join(e.requests(), "\n"), "PUT"), 1)
		})
	}
}

func TestStatus(t *testing.T) {
	cli := newTestCLI(t, &fakeEntry{answers: map[string][]cannedReply{"GET /v1/status": {{200, "", testdata(t, "status.json")}}}})
	cli.is.Equal(cli.run("status"), ExitDone)
	cli.is.Equal(cli.out.String(), testdata(t, "status.golden"))
}

func testdata(t *testing.T, name string) string {
	b, err := os.ReadFile(filepath.Join("testdata", name))
	is.New(t).NoErr(err)
	return string(b)
}

func TestCancel(t *testing.T) {
	const path = "DELETE /v1/services/bench-desk/jobs/a%2Fb"
	e := &fakeEntry{answers: map[string][]cannedReply{path: {
		{200, "", `{"id":"a/b","outcome":"failed","reason":"cancelled"}`},
		{200, "", `{"id":"a/b","outcome":"complete","results":[1]}`},
	}}}
	cli := newTestCLI(t, e)
	cli.is.Equal(cli.run("cancel", "bench-desk", "a/b"), ExitDone)
	cli.is.Equal(cli.out.String(), "a/b: cancelled (failed)\n")
	cli.is.Equal(cli.run("cancel", "bench-desk", "a/b"), ExitRefused)
	cli.is.Equal(cli.out.String(), "a/b: too late, it is complete\n")
}

// With -wait=false the command returns once the job is accepted. The results are queried later.
func TestSubmitWithoutWaiting(t *testing.T) {
	const get = "GET /v1/services/bench-desk/jobs/j1"
	e := &fakeEntry{answers: map[string][]cannedReply{
		postJob: {{}, {200, "", `{"id":"j1","outcome":"pending"}`}},
		get:     {{200, "", `{"id":"j1","outcome":"pending"}`}, {200, "", complete}},
	}}
	cli := newTestCLI(t, e)
	cli.is.Equal(cli.run("submit", "-wait=false", cli.file("j.json", jobFile)), ExitDone)
	cli.is.Equal(cli.out.String(), "j1: pending\n")
	cli.is.Equal(len(e.requests()), 2) // after the lost reply it was sent again with the same id
	cli.is.Equal(cli.run("state", "bench-desk", "j1"), ExitDone)
	cli.is.Equal(cli.out.String(), "j1: pending\n")
	cli.is.Equal(cli.run("state", "bench-desk", "j1"), ExitDone)
	cli.is.Equal(cli.out.String(), "j1: complete\n0\t\"mended\"\n")
}

func TestDiff(t *testing.T) {
	e := &fakeEntry{answers: map[string][]cannedReply{getDeclaration: {{200, `"17"`, declarationFile}}}}
	cli := newTestCLI(t, e)
	cli.is.Equal(cli.run("diff", cli.file("d.json", declarationFile)), ExitDone)
	cli.is.Equal(diffLines([]string{"a", "b", "c", "d"}, []string{"a", "x", "c", "d", "e"}), []string{"- b", "+ x", "+ e"})
	cli.is.Equal(diffLines(nil, []string{"a"}), []string{"+ a"})
}

func TestUsage(t *testing.T) {
	cli := newTestCLI(t, &fakeEntry{})
	for _, args := range [][]string{
		{"fly"}, {"apply"}, {"apply", "a", "b"}, {"status", "-output", "xml"}, {"status", "-nope"}, {"submit", "no-such-file"},
		{"cancel", "bench-desk"}, {"cancel", "bench-desk", "a\nb"}, {"apply", cli.file("d.json", "{}")},
		{"submit", cli.file("j.json", `{"kind":"job"}`)}, {"status", "-ca", cli.file("ca.pem", "none")},
	} {
		cli.is.Equal(cli.run(args...), ExitUsage) // args
	}
	cli.is.Equal(Run(context.Background(), nil, Env{Stdout: &cli.out, Stderr: &cli.err}), ExitUsage)
}

// The example files must pass the check, and an error in a file must be named.
func TestCheck(t *testing.T) {
	cli := newTestCLI(t, &fakeEntry{})
	examples, err := filepath.Glob("../../examples/*/*.json")
	cli.is.NoErr(err)
	cli.is.True(len(examples) > 0)
	cli.is.Equal(cli.run(append([]string{"check"}, examples...)...), ExitDone)

	bad := cli.file("bad.json", `{"kind":"job","service":"s","id":"j","tasks":[{"payload":1,"gpu":2}]}`)
	worse := cli.file("worse.json", "{\n\"operator\": \"haneul\", \"colour\": 1}")
	cli.is.Equal(cli.run("check", bad, worse), ExitRefused)
	cli.is.True(strings.Contains(cli.out.String(), `bad.json: unknown field "tasks[0].gpu"`))
	cli.is.True(strings.Contains(cli.out.String(), `worse.json:2: colour`))
}

func TestTLSWithCustomCA(t *testing.T) {
	e := &fakeEntry{answers: map[string][]cannedReply{"GET /v1/status": {{200, "", `{"node":"entry-1"}`}}}}
	cli := newTestCLI(t, e)
	srv := httptest.NewTLSServer(e)
	t.Cleanup(srv.Close)
	cli.url = srv.Listener.Addr().String()
	ca := cli.file("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw})))
	cli.is.Equal(cli.run("status", "-ca", ca, "-token-file", cli.file("token", "t\n")), ExitDone)
	cli.url = "https://" + cli.url
	cli.is.Equal(cli.run("status"), ExitRefused) // signed by an unknown authority
}

// Guards against a drain of the wrong failure domain, and against output that reports a drain with
// an unknown outcome as certain.
func TestDrain(t *testing.T) {
	const put, del = "PUT /v1/drains/iksan", "DELETE /v1/drains/iksan"
	e := &fakeEntry{answers: map[string][]cannedReply{
		put:                            {{200, "", `{"domain":"iksan","drained":true,"version":3,"outcome":"complete"}`}},
		del:                            {{503, "", problem("unknown", "apply_unknown", "")}},
		"GET /v1/drains":               {{200, "", `{"domains":[{"domain":"gunsan","drained":false,"agents":4},{"domain":"iksan","drained":true,"agents":3}]}`}},
		"GET /v1/drains/iksan/history": {{200, "", `{"domain":"iksan","entries":[{"version":3,"drained":true,"by":"entry-1","at":"2026-01-02T03:04:05Z"}]}`}},
		"PUT /v1/drains/mars":          {{404, "", problem("not_run", "unknown_domain", "")}},
	}}
	cli := newTestCLI(t, e)
	cli.is.Equal(cli.run("drain", "iksan"), ExitDone)
	cli.is.Equal(cli.out.String(), "iksan is drained (version 3)\n")
	cli.is.Equal(cli.run("undrain", "iksan"), ExitUnknown)
	cli.is.Equal(cli.run("drain"), ExitDone)
	cli.is.Equal(cli.out.String(), "gunsan\tin use\t4 agents\niksan\tdrained\t3 agents\n")
	cli.is.Equal(cli.run("drain", "-history", "iksan"), ExitDone)
	cli.is.Equal(cli.out.String(), "3\tdrained\t2026-01-02T03:04:05Z\tentry-1\n")
	cli.is.Equal(cli.run("drain", "mars"), ExitRefused)
	cli.is.Equal(cli.run("drain", "-history"), ExitUsage)
	cli.is.Equal(cli.run("undrain"), ExitUsage)
}
