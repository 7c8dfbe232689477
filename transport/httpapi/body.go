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
	// bodyTimeout bounds the time in which a caller must send its body.
	bodyTimeout = 30 * time.Second
	// DefaultMaxBufferedBytes bounds the memory for request bodies to 32 bodies of the
	// largest size.
	DefaultMaxBufferedBytes = 32 * state.MaxBodyBytes
	// initialBufferBytes bounds the buffer that is allocated for a Content-Length before any
	// of the body has arrived.
	initialBufferBytes = 64 << 10
	// overloadRetryAfter is the retry-after time of a refusal because of the limit on
	// buffered bodies: a body is buffered for about as long as a short job runs.
	overloadRetryAfter = time.Second
)

var (
	errOtherJob = errors.New("the answer belongs to another job")
	errNotFinal = errors.New("the answer is not final")
)

// readBody reads a whole body. Its size counts towards the limit on buffered bytes until release
// is called.
func (s *server) readBody(x *exchange) (body []byte, release func(), p *api.Problem) {
	size := x.req.ContentLength
	if size > state.MaxBodyBytes {
		return nil, nil, api.TooLarge()
	}
	if size < 0 {
		size = state.MaxBodyBytes
	}
	// Without this limit a burst of large bodies uses up the memory of the process before
	// any queue limit applies. It is sufficient to refuse the request here, because the
	// body has not been read yet.
	if !s.bufferedBytes.TryAcquire(size) {
		return nil, nil, x.overloaded()
	}
	body, p = readAll(x, size)
	if p != nil {
		s.bufferedBytes.Release(size)
		return nil, nil, p
	}
	// For a body without Content-Length the largest size was reserved.
	length := int64(len(body))
	s.bufferedBytes.Release(size - length)
	return body, func() { s.bufferedBytes.Release(length) }, nil
}

func readAll(x *exchange, size int64) ([]byte, *api.Problem) {
	ctl := http.NewResponseController(x.w)
	// The deadline is cleared after the body has been read, or it would end the wait for the
	// answer. A ResponseWriter without deadlines, as in tests, is not an error.
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
		// It is unknown which job the caller meant to submit; an earlier attempt may have
		// run.
		return nil, api.NewProblem(state.ReasonMalformed, x.refusalOutcome, "the body could not be read: %v", err)
	}
	return buf.Bytes(), nil
}

func (x *exchange) overloaded() *api.Problem {
	p := api.NewProblem(state.ReasonOverload, x.refusalOutcome, "this attempt was not accepted: too many bodies are being held")
	p.RetryAfter = overloadRetryAfter
	return p
}
