package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// reconnectDelay is how long a member waits before it connects again.
	reconnectDelay = 100 * time.Millisecond
	// pieceBytes and pieceDelay are those of a body that is sent piece by piece.
	pieceBytes = 8 << 10
	pieceDelay = 20 * time.Millisecond
	// pipelineTime is how long a member goes on sending requests whose answers it doesn't read.
	pipelineTime = 3 * time.Second
	// manyBytes is far over the limits on heads and bodies.
	manyBytes = 8 << 20
)

// member is one client of a crowd.
type member struct {
	p      *pressure
	addr   string
	number int
	// jobs numbers the member's jobs.
	jobs int
	conn net.Conn
	in   *bufio.Reader
	// failed is set once the connection has ended.
	failed bool
	// pressed tells that the member has behaved once.
	pressed func()
}

// run connects and behaves until the crowd leaves.
func (m *member) run(behave func(*member)) {
	m.pressed = sync.OnceFunc(m.p.pressed.Done)
	defer m.pressed()
	for {
		if conn, err := net.DialTimeout("tcp", m.addr, time.Second); err == nil {
			m.p.conns.Add(1)
			m.conn, m.in, m.failed = conn, bufio.NewReaderSize(conn, 512), false
			left := m.closeWhenStopped()
			behave(m)
			m.pressed()
			m.hold()
			left()
		}
		select {
		case <-m.p.stop:
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// closeWhenStopped closes the connection when the crowd leaves, or when the returned function is called.
func (m *member) closeWhenStopped() (left func()) {
	conn, done := m.conn, make(chan struct{})
	go func() {
		select {
		case <-m.p.stop:
		case <-done:
		}
		conn.Close() //nolint:errcheck // it may have ended already
	}()
	return func() { close(done) }
}

// hold stays connected until the other side closes the connection or the crowd leaves.
func (m *member) hold() {
	if !m.failed {
		io.Copy(io.Discard, m.in) //nolint:errcheck // the end is what counts
	}
}

// holdWithoutReading is hold for a client that reads nothing.
func (m *member) holdWithoutReading() { <-m.p.stop }

// send writes s and reports whether the connection has taken it.
func (m *member) send(s string) bool {
	if !m.failed {
		_, err := io.WriteString(m.conn, s)
		m.failed = err != nil
	}
	return !m.failed
}

// sendRepeatedly writes s until n bytes are written.
func (m *member) sendRepeatedly(s string, n int) {
	for ; n > 0 && m.send(s[:min(n, len(s))]); n -= len(s) {
	}
}

// receive reads a response, or returns nil if there is none.
func (m *member) receive() *http.Response {
	if m.failed {
		return nil
	}
	resp, err := http.ReadResponse(m.in, nil)
	if err != nil {
		m.failed = true
		return nil
	}
	io.Copy(io.Discard, resp.Body) //nolint:errcheck // the next read fails as well
	return resp
}

// nextID returns a new ID of a job.
func (m *member) nextID() int {
	m.jobs++
	return 0xc<<56 | m.number<<32 | m.jobs
}

// bodyOf returns a body of n bytes that is padded with white space.
func bodyOf(fields string, n int) string {
	body := `{"spec":"5","best_effort":true,` + fields
	return body + strings.Repeat(" ", n-len(body)-1) + "}"
}

var (
	// smallSteps is a list of one step, tinySteps one of as many steps as a legal body has room for.
	smallSteps = `"steps":[{"count":1,"cpu_millis":100,"mem_mb":16,"estimate_ms":50}]`
	tinySteps  = `"steps":[` + strings.Repeat(`{},`, (maxBodyBytes-100)/len(`{},`)) + `{}]`

	paddedBody = bodyOf(smallSteps, maxBodyBytes)
	tinyBody   = bodyOf(tinySteps, maxBodyBytes)
	// manySteps is a recorded job of as many steps as a job may have, which depend on many others.
	manySteps = manyStepsBody()
	// manyHeaderLines are distinct lines, so that none is merged with another.
	manyHeaderLines = headerLines(200_000)
	block           = strings.Repeat("x", 64<<10)
)

func manyStepsBody() string {
	const maxSteps, mostDependencies = 1000, 45
	steps := make([]string, maxSteps)
	for i := range steps {
		var depends []string
		for j := range min(i, mostDependencies) {
			depends = append(depends, strconv.Itoa(i-1-j))
		}
		steps[i] = fmt.Sprintf(`{"count":1,"cpu_millis":100,"estimate_ms":5,"depends_on":[%s]}`, strings.Join(depends, ","))
	}
	return `{"spec":"5","steps":[` + strings.Join(steps, ",") + `]}`
}

func headerLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "h%x:\r\n", i)
	}
	return b.String()
}

// sendShort sends a body without its last byte.
func (m *member) sendShort(body string) {
	m.send(head(m.nextID(), fmt.Sprintf("Content-Length: %d", len(body))) + body[:len(body)-1])
}

// sendChunked sends a body in chunks, without the end of the last one.
func (m *member) sendChunked(body string) {
	m.send(head(m.nextID(), "Transfer-Encoding: chunked"))
	for len(body) > 0 {
		n := min(len(body), pieceBytes)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
		if len(body) == 0 {
			chunk = chunk[:len(chunk)-3]
		}
		m.send(chunk)
	}
}

// sendPieces sends a body piece by piece, without its last byte.
func (m *member) sendPieces(body string) {
	m.send(head(m.nextID(), fmt.Sprintf("Content-Length: %d", len(body))))
	for rest := body[:len(body)-1]; len(rest) > 0; {
		n := min(len(rest), pieceBytes)
		m.send(rest[:n])
		rest = rest[n:]
		time.Sleep(pieceDelay)
	}
}

// sendWhole submits one job after the other with the same body.
func (m *member) sendWhole(body string) {
	for range 4 {
		m.send(head(m.nextID(), fmt.Sprintf("Content-Length: %d", len(body))) + body)
		m.receive()
	}
}

// sendAnnounced announces a body and sends a part of it.
func (m *member) sendAnnounced(announced, sent int) {
	m.send(head(m.nextID(), fmt.Sprintf("Content-Length: %d", announced)))
	m.sendRepeatedly(block, sent)
}

// pipeline sends requests without reading any answer, until no more are taken.
func (m *member) pipeline() {
	request := "GET /q/ HTTP/1.1\r\nHost: desk.example\r\n\r\n"
	m.conn.SetWriteDeadline(time.Now().Add(pipelineTime)) //nolint:errcheck // a write that lasts is only slower
	m.sendRepeatedly(strings.Repeat(request, 100), manyBytes)
	m.pressed()
	m.holdWithoutReading()
}

// crowds are the kinds of crowds.
var crowds = []crowd{
	{name: "long_header_line", members: 200, behave: func(m *member) {
		m.send("GET /q/ HTTP/1.1\r\nHost: desk.example\r\nX: ")
		m.sendRepeatedly(block, manyBytes)
	}},
	{name: "long_request_line", members: 200, behave: func(m *member) {
		m.send("GET /q/")
		m.sendRepeatedly(block, manyBytes)
	}},
	{name: "endless_header_lines", members: 100, behave: func(m *member) {
		m.send("GET /q/ HTTP/1.1\r\nHost: desk.example\r\n" + manyHeaderLines)
	}},
	{name: "heads_within_the_limit_without_end", members: 400, behave: func(m *member) {
		m.send(("GET /q/ HTTP/1.1\r\nHost: desk.example\r\n" + manyHeaderLines)[:16000])
	}},
	{name: "empty_lines", members: 200, behave: func(m *member) { m.sendRepeatedly(strings.Repeat("\r\n", 32<<10), manyBytes) }},
	{name: "empty_lines_after_a_request", members: 200, behave: func(m *member) {
		m.send(head(m.nextID(), fmt.Sprintf("Content-Length: %d", len(`{}`))) + "{}")
		m.receive()
		m.sendRepeatedly(strings.Repeat("\r\n", 32<<10), manyBytes)
	}},
	{name: "whole_bodies", members: 400, behave: func(m *member) { m.sendWhole(paddedBody) }},
	{name: "whole_bodies_of_tiny_steps", members: 200, behave: func(m *member) { m.sendWhole(tinyBody) }},
	{name: "bodies_short_of_their_end", members: 400, behave: func(m *member) { m.sendShort(paddedBody) }},
	{name: "chunked_bodies_short_of_their_end", members: 400, behave: func(m *member) { m.sendChunked(paddedBody) }},
	{name: "bodies_piece_by_piece", members: 400, behave: func(m *member) { m.sendPieces(paddedBody) }},
	{name: "bodies_announced_only", members: 1200, behave: func(m *member) { m.sendAnnounced(maxBodyBytes, 0) }},
	{name: "bodies_for_no_queue", members: 1200, behave: func(m *member) {
		m.send(fmt.Sprintf("POST /nowhere HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n", maxBodyBytes-1))
	}},
	{name: "oversized_bodies_announced", members: 200, behave: func(m *member) { m.sendAnnounced(1<<40, manyBytes) }},
	{name: "oversized_bodies_just_sent", members: 200, behave: func(m *member) {
		m.send(head(m.nextID(), "Transfer-Encoding: chunked"))
		m.sendRepeatedly(fmt.Sprintf("%x\r\n%s\r\n", len(block), block), manyBytes)
	}},
	{name: "silent_connections", members: 1200, behave: func(*member) {}},
	{name: "idle_connections", members: 1200, behave: func(m *member) {
		m.send("GET /nowhere HTTP/1.1\r\nHost: desk.example\r\n\r\n")
		m.receive()
	}},
	{name: "answers_that_nobody_reads", members: 200, behave: (*member).pipeline},
	{name: "silent_at_readiness", members: 1200, behave: func(*member) {}, target: func(w *world) string { return w.readyAddr }},
	{name: "heads_at_readiness", members: 100, target: func(w *world) string { return w.readyAddr }, behave: func(m *member) {
		m.send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n" + manyHeaderLines)
	}},
	{name: "silent_at_metrics", members: 1200, behave: func(*member) {}, target: func(w *world) string { return w.metricsAddr }},
	{name: "silent_at_reports", members: 1200, behave: func(*member) {}, target: func(w *world) string { return w.agents[0].reportsAddr }},
	{name: "report_bodies_short_of_their_end", members: 100, target: func(w *world) string { return w.agents[0].reportsAddr }, behave: func(m *member) {
		m.send(fmt.Sprintf("POST /v1/instances/i-%d/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", m.number, 4<<20))
		m.sendRepeatedly(block, 4<<20-1)
	}},
	{name: "silent_at_links", members: 1200, behave: func(*member) {}, target: func(w *world) string { return w.agents[0].linksAddr }},
	{name: "ids_as_long_as_a_head", members: 40, behave: func(m *member) {
		for range 40 {
			m.send(fmt.Sprintf("GET /q/%s HTTP/1.1\r\nHost: desk.example\r\n\r\n", block[:15000]))
			m.receive()
		}
	}},
	{name: "whole_jobs_of_many_steps", members: 100, behave: func(m *member) { m.sendWhole(manySteps) }},
	{name: "counts_that_overflow", members: 4, behave: func(m *member) {
		const most = 1<<63 - 1
		for _, bestEffort := range []bool{true, false} {
			body := fmt.Sprintf(`{"spec":"5","best_effort":%v,"steps":[{"count":%d},{"count":%d},{"count":5}]}`, bestEffort, most, most)
			m.sendWhole(body)
		}
	}},
	{name: "labels_as_large_as_a_body", members: 100, behave: func(m *member) {
		m.sendWhole(`{"spec":"5","steps":[{"count":1,"required_label":"` + strings.Repeat("l", maxBodyBytes-100) + `"}]}`)
	}},
	{name: "jobs_of_many_tasks", members: 40, behave: func(m *member) {
		m.sendWhole(`{"spec":"5","steps":[{"count":1000,"cpu_millis":4000}]}`)
	}},
	{name: "api_bodies_announced_only", members: 100, target: (*world).declaredAPI, behave: func(m *member) {
		m.send(fmt.Sprintf("POST /v1/services/desk/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 8<<20))
	}},
	{name: "api_bodies_short_of_their_end", members: 100, target: (*world).declaredAPI, behave: func(m *member) {
		m.send(fmt.Sprintf("POST /v1/services/desk/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 8<<20))
		m.sendRepeatedly(block, 8<<20-1)
	}},
}
