// Package backendclient runs tasks on the backend server beside an agent. It
// speaks the protocol of docs/BACKENDS.md and says of every try one of three
// things: it ran, it certainly was not started, or that is not known.
package backendclient

import (
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/state"
)

// Defaults of Options.
const (
	DefaultLease       = 10 * time.Second
	DefaultDialTimeout = time.Second
	DefaultAnswerGrace = 2 * time.Second
)

// Options configures a Client. The zero value is usable.
type Options struct {
	// TLS is used for https URLs. Nil is the library's default.
	TLS *tls.Config
	// Token, when set, is sent as a bearer token.
	Token string
	// Lease is how long a task may run without a renewal. Call RenewLeases at
	// least three times as often.
	Lease time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// AnswerGrace is how long after a task's deadline its answer is awaited.
	AnswerGrace time.Duration
	// Registerer takes the metrics. Nil registers them nowhere.
	Registerer prometheus.Registerer
}

// Client talks to backend servers. It is safe for concurrent use.
type Client struct {
	opts    Options
	metrics *metrics

	mu sync.Mutex
	// links holds the connections to each backend server, by its ID.
	// Guarded by mu.
	links map[string]*link
	// running holds the runs in progress. An agent runs a task once at a time
	// and no more tasks than its backend server has slots, so one lock will
	// do. Guarded by mu.
	running map[state.TaskKey]runID
}

// runID names one run of a task at one backend server.
type runID struct {
	backend string
	task    string
}

// New returns a client with the given options.
func New(opts Options) *Client {
	if opts.Lease <= 0 {
		opts.Lease = DefaultLease
	}
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.AnswerGrace <= 0 {
		opts.AnswerGrace = DefaultAnswerGrace
	}
	return &Client{
		opts:    opts,
		metrics: newMetrics(opts.Registerer),
		links:   make(map[string]*link),
		running: make(map[state.TaskKey]runID),
	}
}

// Forget closes the idle connections to a backend server that has gone. Runs
// in progress there go on to their end.
func (c *Client) Forget(backendID string) {
	c.mu.Lock()
	l := c.links[backendID]
	delete(c.links, backendID)
	c.mu.Unlock()
	if l != nil {
		l.closeIdle()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	links := c.links
	c.links = make(map[string]*link)
	c.mu.Unlock()
	for _, l := range links {
		l.closeIdle()
	}
}

// register notes a run. It returns false when the task runs already.
func (c *Client) register(task state.TaskKey, id runID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, twice := c.running[task]; twice {
		return false
	}
	c.running[task] = id
	return true
}

func (c *Client) unregister(task state.TaskKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, task)
}

func (c *Client) lookup(task state.TaskKey) (runID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.running[task]
	return id, ok
}

func (c *Client) authorize(req *http.Request) {
	if c.opts.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.opts.Token)
	}
}
