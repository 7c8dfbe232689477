package httpapi

import (
	"crypto/tls"
	"net/http"
	"time"
)

// Limits of the listener.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// NewServer returns an HTTP server with limits for a handler of New. config is nil for HTTP without
// TLS. The server has no read and write timeouts, because an answer may take as long as the
// caller's deadline: the handler bounds the time to read the body and to write the answer.
func NewServer(handler http.Handler, config *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
