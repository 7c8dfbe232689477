package httpapi

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shallotstep/shallotstep/state"
)

// Guards against the outcome "not run" for a resubmission whose body is truncated: the job may
// have run after the first submission, and the entry can't tell which job it is. The outcome must
// be unknown. Only for a complete body that every entry refuses is it "not run".
func TestTruncatedBodyHasUnknownOutcome(t *testing.T) {
	ts := newTestServer(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	ts.is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nContent-Length: 500\r\n\r\n%s", jobsPath, `{"id":"j","tasks":[{"pay`)
	ts.is.NoErr(err)
	ts.is.NoErr(conn.(*net.TCPConn).CloseWrite())
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	ts.is.NoErr(err)
	p := ts.problem(res)
	ts.is.Equal(p.Reason, state.ReasonMalformed)
	ts.is.Equal(p.Outcome, state.Unknown)
	ts.is.Equal(len(ts.dispatcher.started), 0)
}
