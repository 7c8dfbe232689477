package backendclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

const (
	// maxReplyBytes bounds one answer of a backend server.
	maxReplyBytes = state.MaxBodyBytes
	// controlConnections is how many of the announced connections are kept
	// for control calls.
	controlConnections = 2
	idleTimeout        = 30 * time.Second
	jsonType           = "application/json"
)

// link is the connections to one backend server as it last announced itself.
type link struct {
	url         string
	connections int
	tasks       *http.Transport
	control     *http.Transport
}

// link returns the connections to a backend server. A changed announcement
// gets new ones; requests in flight end on the old ones.
func (c *Client) link(b state.Backend) *link {
	c.mu.Lock()
	old := c.links[b.ID]
	if old != nil && old.url == b.URL && old.connections == b.Connections {
		c.mu.Unlock()
		return old
	}
	fresh := newLink(b, c.opts)
	c.links[b.ID] = fresh
	c.mu.Unlock()
	if old != nil {
		old.closeIdle()
	}
	return fresh
}

// newLink splits the announced connections between tasks and control calls.
// Without the split, running tasks could occupy every connection: a stop would
// wait for the task that it is meant to stop, and leases would lapse unrenewed.
func newLink(b state.Backend, opts Options) *link {
	total := max(b.Connections, 1)
	reserved := min(controlConnections, total/2)
	l := &link{url: b.URL, connections: b.Connections}
	l.tasks = newTransport(opts, total-reserved)
	l.control = l.tasks
	if reserved > 0 {
		l.control = newTransport(opts, reserved)
	}
	return l
}

func (l *link) closeIdle() {
	l.tasks.CloseIdleConnections()
	l.control.CloseIdleConnections()
}

// newTransport returns a transport that sends each request at most once. It is
// used without an http.Client, which would add what isn't wanted here (redirects,
// cookies) and seven allocations to each start.
//
// net/http sends a request again by itself in three cases: a kept-alive
// connection broke and the request counts as replayable, an HTTP/2 server
// refused the stream, or the answer was a redirect. Each could run a task
// twice without the caller hearing of it. So requests that start tasks carry a
// body without GetBody and no Idempotency-Key header, which makes them not
// replayable; HTTP/2 is off; a transport follows no redirects. No proxy is taken
// from the environment either: a proxy may repeat requests too.
func newTransport(opts Options, connections int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	var tlsConfig *tls.Config
	if opts.TLS != nil {
		tlsConfig = opts.TLS.Clone()
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     tlsConfig,
		TLSHandshakeTimeout: opts.DialTimeout,
		Protocols:           protocols,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// call sends a control request and decodes a 200 answer into out.
func (c *Client) call(ctx context.Context, l *link, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := encode(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, l.url+path, body)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", jsonType)
	c.authorize(req)
	resp, err := l.control.RoundTrip(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	data, err := readReply(resp)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Problem: parseProblem(data)}
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode answer")
}

// errReplyTooLarge is an answer beyond maxReplyBytes.
var errReplyTooLarge = errors.New("answer is too large")

func readReply(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(data) > maxReplyBytes {
		return nil, errReplyTooLarge
	}
	return data, nil
}

// parseProblem reads a problem document as far as it is one.
func parseProblem(data []byte) wire.Problem {
	var p wire.Problem
	if json.Unmarshal(data, &p) != nil {
		return wire.Problem{}
	}
	return p
}

// StatusError is a backend server's answer other than 200 to a control call.
type StatusError struct {
	Status  int
	Problem wire.Problem
}

// Error returns the status and the problem's detail.
func (e *StatusError) Error() string {
	text := "backend server answered " + http.StatusText(e.Status)
	if e.Problem.Detail != "" {
		text += ": " + e.Problem.Detail
	}
	return text
}

func taskPath(id string) string {
	return wire.TasksPath + "/" + url.PathEscape(id)
}
