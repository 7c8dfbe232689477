package guard

import (
	"log"
	"net"
	"net/http"
	"strings"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/transport/metrics"
)

// maxHeaderBytes is the HTTP server's own limit on a head, for the case that a larger one is configured.
const maxHeaderBytes = 1 << 20

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// connOf returns the connection of a request, or nil if it didn't come through a Listener.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// trackState implements http.Server.ConnState.
func trackState(c net.Conn, s http.ConnState) {
	g, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		g.endRequest()
	case http.StateClosed:
		g.listener.pool.release(g)
	}
}

// handler takes note of each request and refuses those whose head is over the limit.
func (l *Listener) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived := connOf(r).beginRequest(r.ContentLength != 0)
		if limit := l.limits().HeaderBytes; arrived > limit && headBytes(r) > limit {
			metrics.RefusedRequest(metrics.RefusedHeaderTooLarge)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// headBytes returns the size of the request line and the header of a request.
func headBytes(r *http.Request) int64 {
	const separators = len("  \r\n") + len("\r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + headerLine("Host", r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += headerLine(name, v)
		}
	}
	return int64(n)
}

func headerLine(name, value string) int { return len(name) + len(value) + len(": \r\n") }

// serverLog returns the log of an HTTP server. Its lines are only for debugging, because clients decide
// how many there are.
func serverLog(name string) *log.Logger { return log.New(logWriter(name), "", 0) }

type logWriter string

func (name logWriter) Write(b []byte) (int, error) {
	klog.V(1).InfoS("HTTP server", "listener", string(name), "message", strings.TrimSpace(string(b)))
	return len(b), nil
}
