package httpapi

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

var update = flag.Bool("update", false, "write the golden files anew")

const (
	jobs     = "/v1/services/bench-desk/jobs"
	requests = "/v1/services/bench-desk/requests"
	logbook  = "/v1/services/yard-logbook/jobs"
	haneul   = "/v1/declarations/haneul"
	oneTask  = `{"id":"j1","deadline_ms":2500,"tasks":[{"payload":{"doll":"porcelain"},"expected_ms":300}]}`
)

// step is one request of a session; header is "Name: value" lines.
type step struct {
	method, path, header, body string
}

// sessions are whole HTTP exchanges. Their golden files are the contract with
// callers: every byte but the date is compared.
var sessions = []struct {
	name   string
	tokens []Token
	setup  func(*bench)
	steps  []step
}{
	{
		name: "job",
		setup: func(b *bench) {
			b.dispatcher.answers["two"] = message.Answer{
				Outcome: state.Complete,
				Results: []state.TaskResult{{Index: 1, Payload: []byte(`"wig"`)}, {Index: 0, Payload: []byte(`"eye"`)}},
				Stats:   message.Stats{Messages: 4, Longest: 120 * time.Millisecond, Total: 200 * time.Millisecond, Elapsed: 123 * time.Millisecond},
			}
			b.dispatcher.answers["running"] = message.Answer{Outcome: state.Pending}
			b.dispatcher.answers["stopped"] = message.Answer{Outcome: state.Failed, Reason: state.ReasonCancelled}
		},
		steps: []step{
			{"POST", jobs, "", oneTask},
			{"POST", jobs, "", `{"id":"two","tasks":[{"payload":1},{"payload":2}]}`},
			{"POST", jobs, "Idempotency-Key: k1", `{"tasks":[{"payload":1}]}`},
			{"POST", requests, "", `{"id":"q1","repeatable":false,"task":{"payload":"quote"}}`},
			{"GET", jobs + "/two", "", ""},
			{"GET", jobs + "/running", "", ""},
			{"GET", jobs + "/nobody", "", ""},
			{"DELETE", jobs + "/stopped", "", ""},
			{"DELETE", jobs + "/two", "", ""},
			{"GET", jobs + "/stopped", "", ""},
		},
	},
	{
		name: "refusals",
		setup: func(b *bench) {
			for _, r := range []state.Reason{
				state.ReasonIDConflict, state.ReasonNeverRunnable, state.ReasonQuota, state.ReasonQueueFull,
				state.ReasonBarred, state.ReasonClaimsUnknown, state.ReasonDeadline, state.ReasonTaskFailed,
			} {
				a := message.Answer{Outcome: state.NotRun, Reason: r, Detail: "as the home says"}
				switch r {
				case state.ReasonQuota, state.ReasonQueueFull, state.ReasonBarred:
					a.RetryAfter = 1500 * time.Millisecond
				case state.ReasonClaimsUnknown, state.ReasonDeadline:
					a.Outcome = state.Unknown
				case state.ReasonTaskFailed:
					a.Outcome = state.Failed
				}
				b.dispatcher.answers[string(r)] = a
			}
			b.dispatcher.answers["pending"] = message.Answer{Outcome: state.Pending}
			b.dispatcher.answers["partial"] = message.Answer{Outcome: state.Complete, Results: []state.TaskResult{{Index: 1, Payload: []byte("1")}}}
		},
		steps: []step{
			{"POST", jobs, "", withID("id_conflict")},
			{"POST", jobs, "", withID("never_runnable")},
			{"POST", jobs, "", withID("quota")},
			{"POST", jobs, "", withID("queue_full")},
			{"POST", jobs, "", withID("barred")},
			{"POST", jobs, "", withID("claims_unknown")},
			{"POST", jobs, "", withID("deadline")},
			{"POST", jobs, "", withID("task_failed")},
			{"POST", jobs, "", withID("pending")},
			{"POST", jobs, "", withID("partial")},
			{"POST", jobs, "", `{"id":"j1","tasks":[],"colour":1}`},
			{"POST", jobs, "Idempotency-Key: k2", oneTask},
			{"POST", "/v1/services/no-such/jobs", "", oneTask},
			{"GET", "/v1/services/bench-desk", "", ""},
			{"PATCH", jobs, "", "{}"},
			{"POST", jobs + "/j1", "", "{}"},
			{"GET", jobs + "/a%0Ab", "", ""},
		},
	},
	{
		name: "declarations",
		steps: []step{
			{"GET", haneul, "", ""},
			{"GET", haneul + "/history", "", ""},
			{"PUT", haneul, "", "{}"},
			{"PUT", haneul, "If-Match: *", "{}"},
			{"PUT", haneul, `If-Match: W/"17"`, "{}"},
			{"PUT", haneul, "If-Match: \"17\"\nIf-None-Match: *", "{}"},
			{"PUT", haneul, "If-None-Match: *", `{"operator":"haneul"} // first`},
			{"PUT", haneul, `If-Match: "0"`, `{"operator":"haneul","late":true}`},
			{"PUT", haneul, `If-Match: "17"`, `{"operator":"haneul","second":true}`},
			{"GET", haneul, "", ""},
			{"GET", haneul + "/history", "", ""},
		},
	},
	{
		name: "log-out-of-service",
		setup: func(b *bench) {
			b.declarer.fault = &coordination.Applied{Version: 16, Outcome: state.Unknown, Reason: state.ReasonApplyUnknown, Detail: "the reply was lost"}
		},
		steps: []step{{"PUT", haneul, `If-Match: "16"`, "{}"}},
	},
	{
		name: "tokens",
		tokens: []Token{
			{Secret: "counter", Operator: "haneul", Role: RoleCaller},
			{Secret: "desk", Operator: "haneul", Role: RoleOperator},
			{Secret: "root", Role: RoleAdmin},
			{Secret: "", Operator: "haneul", Role: RoleAdmin},
			{Secret: "odd", Operator: "haneul", Role: "owner"},
		},
		steps: []step{
			{"POST", jobs, "", oneTask},
			{"POST", jobs, "Authorization: Bearer wrong", oneTask},
			{"POST", jobs, "Authorization: Bearer", oneTask},
			{"POST", jobs, "Authorization: Basic counter", oneTask},
			{"POST", jobs, "Authorization: Bearer odd", oneTask},
			{"POST", jobs, "Authorization: Bearer counter", oneTask},
			{"POST", logbook, "Authorization: Bearer counter", oneTask},
			{"DELETE", logbook + "/j1", "Authorization: Bearer desk", ""},
			{"PUT", haneul, "Authorization: Bearer counter\nIf-None-Match: *", "{}"},
			{"PUT", haneul, "Authorization: Bearer desk\nIf-None-Match: *", "{}"},
			{"PUT", "/v1/declarations/gridlog", "Authorization: Bearer desk\nIf-None-Match: *", "{}"},
			{"GET", "/v1/declarations/gridlog/history", "Authorization: Bearer desk", ""},
			{"GET", "/v1/declarations/gridlog", "Authorization: Bearer root", ""},
			{"GET", "/v1/status", "Authorization: Bearer counter", ""},
			{"GET", "/v1/status", "Authorization: Bearer desk", ""},
			{"POST", "/v1/nodes/agent-1/drain", "Authorization: Bearer desk", ""},
			{"POST", "/v1/nodes/agent-1/drain", "Authorization: Bearer root", ""},
			{"POST", "/v1/nodes/agent-9/drain", "Authorization: Bearer root", ""},
			{"GET", "/healthz", "", ""},
			{"GET", "/readyz", "", ""},
		},
	},
	{
		name:  "not-ready",
		setup: func(b *bench) { b.ready = false },
		steps: []step{
			{"GET", "/readyz", "", ""},
			{"HEAD", "/readyz", "", ""},
			{"GET", "/healthz", "", ""},
			// The balancer is late with the news: the job is not cut off.
			{"POST", jobs, "", oneTask},
		},
	},
}

func withID(id string) string { return fmt.Sprintf(`{"id":%q,"tasks":[{"payload":1}]}`, id) }

func TestGoldenSessions(t *testing.T) {
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, s.tokens...)
			if s.setup != nil {
				s.setup(b)
			}
			got := b.play(s.steps)
			name := filepath.Join("testdata", s.name+".golden")
			if *update {
				is.NoErr(os.WriteFile(name, got, 0o644))
			}
			want, err := os.ReadFile(name)
			is.NoErr(err)
			if !bytes.Equal(got, want) {
				t.Fatalf("the session differs from %s:\n%s", name, got)
			}
		})
	}
}

// play sends the steps over one connection and returns what went over it.
func (b *bench) play(steps []step) []byte {
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	b.is.NoErr(err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	var out bytes.Buffer
	for _, s := range steps {
		lines := []string{s.method + " " + s.path + " HTTP/1.1", "Host: entry"}
		if s.header != "" {
			lines = append(lines, strings.Split(s.header, "\n")...)
		}
		if s.body != "" {
			lines = append(lines, fmt.Sprintf("Content-Length: %d", len(s.body)))
		}
		request := strings.Join(lines, "\r\n") + "\r\n\r\n" + s.body
		_, err := io.WriteString(conn, request)
		b.is.NoErr(err)
		out.WriteString("> " + strings.ReplaceAll(strings.TrimRight(strings.ReplaceAll(request, "\r", ""), "\n"), "\n", "\n> ") + "\n")
		b.record(&out, in, s.method)
	}
	return out.Bytes()
}

func (b *bench) record(out *bytes.Buffer, in *bufio.Reader, method string) {
	res, err := http.ReadResponse(in, &http.Request{Method: method})
	b.is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	b.is.NoErr(err)
	b.is.True(res.Header.Get("Date") != "")
	res.Header.Del("Date")
	fmt.Fprintf(out, "< %s %s\n", res.Proto, res.Status)
	var header bytes.Buffer
	b.is.NoErr(res.Header.Write(&header))
	for line := range strings.Lines(header.String()) {
		out.WriteString("< " + strings.TrimSpace(line) + "\n")
	}
	out.Write(body)
	if !bytes.HasSuffix(body, []byte("\n")) {
		out.WriteString("\n")
	}
	out.WriteString("\n")
}
