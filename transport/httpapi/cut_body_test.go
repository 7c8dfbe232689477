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

// A caller submits a job again, and its body is cut off on the way. Its job may
// have run by the first submission. The entry hasn't seen what it is asked for,
// so it must not say "not run"; of a whole body that no entry takes it may.
func TestCutBodyIsNotCalledNotRun(t *testing.T) {
	b := newBench(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	b.is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nContent-Length: 500\r\n\r\n%s", jobs, `{"id":"j","tasks":[{"pay`)
	b.is.NoErr(err)
	b.is.NoErr(conn.(*net.TCPConn).CloseWrite())
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	b.is.NoErr(err)
	p := b.problem(res)
	b.is.Equal(p.Reason, state.ReasonMalformed)
	b.is.Equal(p.Outcome, state.Unknown)
	b.is.Equal(len(b.dispatcher.started), 0)
}
