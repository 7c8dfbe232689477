// Package routing defines the routing table: which requests go to which queue,
// the policy of each queue, and the limits on requests.
package routing

import (
	"net"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Route maps requests to a host and a path prefix to the policy of a queue.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Policy job.Policy
	// Timeout is how long a client of this route waits for an answer if its request
	// states no deadline. Zero means not known.
	Timeout time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version int64
	Routes  []Route
	// MaxBodyBytes is the limit on the size of a request body; zero or less: none is set.
	MaxBodyBytes int64
	// MaxHeaderBytes is the limit on the size of the request line and the header together, HeaderTimeout
	// the time for them, and IdleTimeout how long a connection may stay open between two requests. Zero or
	// less: none is set.
	MaxHeaderBytes             int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Match returns the route of a host whose prefix is the longest that matches the
// path, or nil if none matches. Host names are compared without port and case.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	var best *Route
	for i := range t.Routes {
		r := &t.Routes[i]
		if !strings.EqualFold(r.Host, host) || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}
