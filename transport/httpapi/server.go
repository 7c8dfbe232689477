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

// NewServer returns a server with limits for a handler of New. config may be
// nil for plain HTTP. The server has no timeout for whole exchanges, because
// an answer may rightly take as long as the caller's deadline: the handler
// bounds the reading of the body and the writing of the answer.
func NewServer(handler http.Handler, config *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
