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

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// setups change the server for the sessions that need another one than that of newTestServer.
var setups = map[string]func(*testServer, *Options){
	"not-ready": func(ts *testServer, _ *Options) { ts.ready = false },
	"log-out-of-service": func(ts *testServer, _ *Options) {
		ts.declarer.applyResult = &state.ApplyResult{Version: 16, Outcome: state.Unknown, Reason: state.ReasonApplyUnknown, Detail: "the reply was lost"}
	},
	"tokens": func(_ *testServer, o *Options) {
		o.Tokens = []Token{
			{Secret: "counter", Operator: "haneul", Role: RoleCaller},
			{Secret: "desk", Operator: "haneul", Role: RoleOperator},
			{Secret: "root", Role: RoleAdmin},
			{Secret: "", Operator: "haneul", Role: RoleAdmin},
			{Secret: "odd", Operator: "haneul", Role: "owner"},
		}
	},
}

// A golden file is a session over one connection: the lines with "> " are sent as they are, and the
// responses must equal the other lines byte by byte, except for the Date header. To add an exchange,
// write its "> " lines and run the test with -update.
func TestGoldenSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.golden")
	is := is.New(t)
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".golden")
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t)
			if setup := setups[name]; setup != nil {
				var o Options
				setup(ts, &o)
				ts.start(t, o)
			}
			want, err := os.ReadFile(file)
			ts.is.NoErr(err)
			got := ts.runSession(requestsOf(want))
			if *update {
				ts.is.NoErr(os.WriteFile(file, got, 0o644))
			} else if !bytes.Equal(got, want) {
				t.Fatalf("the session differs from %s:\n%s", file, got)
			}
		})
	}
}

// requestsOf returns the requests of a session.
func requestsOf(session []byte) []string {
	var out []string
	inside := false
	for line := range strings.Lines(string(session)) {
		text, ok := strings.CutPrefix(line, ">")
		if ok && !inside {
			out = append(out, "")
		}
		if inside = ok; ok {
			out[len(out)-1] += strings.TrimPrefix(text, " ")
		}
	}
	return out
}

// runSession sends the requests over one connection and returns the session in the form of a golden
// file.
func (ts *testServer) runSession(requests []string) []byte {
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	ts.is.NoErr(err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	var out bytes.Buffer
	for _, r := range requests {
		header, body, _ := strings.Cut(r, "\n\n")
		header = strings.TrimSuffix(header, "\n")
		_, err := io.WriteString(conn, strings.ReplaceAll(header, "\n", "\r\n")+"\r\n\r\n"+strings.TrimSuffix(body, "\n"))
		ts.is.NoErr(err)
		for line := range strings.Lines(r) {
			out.WriteString("> " + line)
		}
		method, _, _ := strings.Cut(r, " ")
		ts.recordResponse(&out, in, method)
	}
	return out.Bytes()
}

func (ts *testServer) recordResponse(out *bytes.Buffer, in *bufio.Reader, method string) {
	res, err := http.ReadResponse(in, &http.Request{Method: method})
	ts.is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	ts.is.NoErr(err)
	ts.is.True(res.Header.Get("Date") != "")
	res.Header.Del("Date")
	fmt.Fprintf(out, "< %s %s\n", res.Proto, res.Status)
	var header bytes.Buffer
	ts.is.NoErr(res.Header.Write(&header))
	for line := range strings.Lines(header.String()) {
		out.WriteString("< " + strings.TrimSpace(line) + "\n")
	}
	out.Write(body)
	if !bytes.HasSuffix(body, []byte("\n")) {
		out.WriteString("\n")
	}
	out.WriteString("\n")
}
