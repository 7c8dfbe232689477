package httpapi

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// Limits on reading bodies.
const (
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 30 * time.Second
	// DefaultMaxHeldBytes bounds the bodies in memory at once, to 32 of the
	// largest.
	DefaultMaxBufferedBytes = 32 * state.MaxBodyBytes
	// firstBodyBytes bounds what is set aside on a caller's word alone.
	initialBufferBytes = 64 << 10
	// overloadRetryAfter is when a caller refused for want of memory may come
	// back: bodies are held for about as long as a short job runs.
	overloadRetryAfter = time.Second
)

var (
	errOtherJob = errors.New("the answer belongs to another job")
	errNotFinal = errors.New("the answer is not final")
)

// readBody reads a whole body and reserves memory for it until release.
func (s *server) readBody(x *exchange) (body []byte, release func(), p *api.Problem) {
	size := x.req.ContentLength
	if size > state.MaxBodyBytes {
		return nil, nil, api.TooLarge()
	}
	if size < 0 {
		size = state.MaxBodyBytes
	}
	// Without this bound a burst of large bodies takes the process's memory
	// before any queue limit is asked; refusing first is enough, because the
	// body has not been read yet.
	if !s.bufferedBytes.TryAcquire(size) {
		return nil, nil, x.overloaded()
	}
	body, p = readAll(x, size)
	if p != nil {
		s.bufferedBytes.Release(size)
		return nil, nil, p
	}
	// A body that didn't state its length was reserved for in full.
	length := int64(len(body))
	s.bufferedBytes.Release(size - length)
	return body, func() { s.bufferedBytes.Release(length) }, nil
}

func readAll(x *exchange, size int64) ([]byte, *api.Problem) {
	ctl := http.NewResponseController(x.w)
	// The deadline is taken back after the body, or it would end the wait for
	// the answer. A connection without deadlines, as in tests, is no error.
	_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = ctl.SetReadDeadline(time.Time{}) }()
	var buf bytes.Buffer
	buf.Grow(int(min(size, initialBufferBytes)))
	_, err := io.Copy(&buf, http.MaxBytesReader(x.w, x.req.Body, state.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, api.TooLarge()
	}
	if err != nil {
		// What the caller meant to send isn't known, and may have run before.
		return nil, api.NewProblem(state.ReasonMalformed, x.refusalOutcome, "the body could not be read: %v", err)
	}
	return buf.Bytes(), nil
}

func (x *exchange) overloaded() *api.Problem {
	p := api.NewProblem(state.ReasonOverload, x.refusalOutcome, "this attempt was not accepted: too many bodies are being held")
	p.RetryAfter = overloadRetryAfter
	return p
}
