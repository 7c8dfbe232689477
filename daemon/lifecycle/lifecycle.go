// Package lifecycle is what every role's process shares: it serves HTTP, begins
// a planned stop once, and waits for its end or for its limit.
package lifecycle

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// DefaultStopLimit is how long a planned stop may take: the longest tasks take
// several seconds, and a job of 1,000 of them many times that.
const DefaultStopLimit = 2 * time.Minute

// ErrStopLimit says that a planned stop was cut short by its limit.
var ErrStopLimit = errors.New("the planned stop took too long")

// Stop is the course of one process to its end. It is safe for concurrent use.
type Stop struct {
	limit time.Duration
	once  sync.Once
	begun chan struct{}
}

// NewStop returns a stop that has not begun. A limit of zero means
// DefaultStopLimit.
func NewStop(limit time.Duration) *Stop {
	if limit <= 0 {
		limit = DefaultStopLimit
	}
	return &Stop{limit: limit, begun: make(chan struct{})}
}

// Begin calls begin and starts the limit, the first time it is called.
func (s *Stop) Begin(begin func()) {
	s.once.Do(func() {
		begin()
		close(s.begun)
	})
}

// AwaitBegin waits until the planned stop begins, or returns the context's error.
func (s *Stop) AwaitBegin(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.begun:
		return nil
	}
}

// Await calls ended at each interval until it says that the process has to end,
// and returns its error. It returns the context's error when that ends first,
// and ErrStopLimit when a planned stop took too long.
func (s *Stop) Await(ctx context.Context, interval time.Duration, ended func(now time.Time) (bool, error)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	var limit <-chan time.Time
	begun := s.begun
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-begun:
			begun = nil
			limit = time.After(s.limit)
		case <-limit:
			return ErrStopLimit
		case now := <-t.C:
			if done, err := ended(now); done {
				return err
			}
		}
	}
}

// ServeHTTP serves until the server is closed, with TLS if the server has a
// configuration for it.
func ServeHTTP(server *http.Server, l net.Listener) {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(l, "", "")
	} else {
		err = server.Serve(l)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "The HTTP interface ended", "addr", l.Addr().String())
	}
}

// CloseHTTP lets requests under way finish until the context ends.
func CloseHTTP(ctx context.Context, server *http.Server) {
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
