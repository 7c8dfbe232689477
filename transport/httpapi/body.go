package httpapi

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/guard"
)

// Limits on reading bodies.
const (
	// bodyTimeout bounds the time in which a caller must send its body.
	bodyTimeout = 30 * time.Second
	// DefaultMaxBufferedBytes bounds the memory for request bodies to 32 bodies of the
	// largest size.
	DefaultMaxBufferedBytes = 32 * state.MaxBodyBytes
	// overloadRetryAfter is the retry-after time of a refusal because of the limit on
	// buffered bodies: a body is buffered for about as long as a short job runs.
	overloadRetryAfter = time.Second
)

var (
	errOtherJob = errors.New("the answer belongs to another job")
	errNotFinal = errors.New("the answer is not final")
)

// readBody reads a whole body. Its size counts towards the limit on buffered bytes until release
// is called. While it arrives it counts towards the budget of the listener, so that callers that only
// announce a body keep nobody else out.
func (s *server) readBody(x *exchange) (body []byte, release func(), p *api.Problem) {
	body, err := guard.ReadBody(x.w, x.req, state.MaxBodyBytes, bodyTimeout)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, nil, api.TooLarge()
	case errors.Is(err, guard.ErrNoMemory):
		return nil, nil, x.overloaded()
	case err != nil:
		// It is unknown which job the caller meant to submit; an earlier attempt may have
		// run.
		return nil, nil, api.NewProblem(state.ReasonMalformed, x.refusalOutcome, "the body could not be read: %v", err)
	}
	// Without this limit a burst of large bodies uses up the memory of the process before
	// any queue limit applies.
	size := int64(len(body))
	if !s.bufferedBytes.TryAcquire(size) {
		return nil, nil, x.overloaded()
	}
	return body, func() { s.bufferedBytes.Release(size) }, nil
}

func (x *exchange) overloaded() *api.Problem {
	p := api.NewProblem(state.ReasonOverload, x.refusalOutcome, "this attempt was not accepted: too many bodies are being held")
	p.RetryAfter = overloadRetryAfter
	return p
}
