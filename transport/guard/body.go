package guard

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Errors of ReadBody, beside *http.MaxBytesError and those of the connection.
var (
	// ErrNoMemory means that the requests of all clients have used up their memory.
	ErrNoMemory = errors.New("the requests in progress use all of their memory")
	// ErrBodyTimeout means that the body was not whole in time.
	ErrBodyTimeout = errors.New("the body was not whole in time")
)

// initialBodyBytes is the size of the first buffer for a body.
const initialBodyBytes = 4 << 10

// ReadBody reads a whole body of at most limit bytes. Its memory counts as it arrives, until the request
// ends. within is the time for the body, counted from the end of the head; it is bounded in any case. The
// error is *http.MaxBytesError, ErrNoMemory, ErrBodyTimeout, or that of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	c := connOf(r)
	if c == nil {
		return readUnguarded(w, r, limit, within)
	}
	c.allowBody(within)
	most := limit + 1
	if r.ContentLength >= 0 {
		most = max(r.ContentLength, 1)
	}
	body, err := c.readAll(http.MaxBytesReader(w, r.Body, limit), most)
	switch {
	case c.bodyTimedOut():
		return nil, ErrBodyTimeout
	case err != nil:
		return nil, err
	case r.ContentLength != 0 && !c.endBody():
		return nil, ErrBodyTimeout
	}
	return body, nil
}

// readAll reads up to most bytes into a buffer that grows as they arrive.
func (c *conn) readAll(body io.Reader, most int64) ([]byte, error) {
	size := min(most, initialBodyBytes)
	if !c.charge(size) {
		return nil, ErrNoMemory
	}
	buf := make([]byte, 0, size)
	for {
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
		if len(buf) < cap(buf) {
			continue
		}
		old := int64(cap(buf))
		size := min(2*old, max(most, old+1))
		if !c.charge(size) {
			return nil, ErrNoMemory
		}
		grown := make([]byte, len(buf), size)
		copy(grown, buf)
		buf = grown
		c.refund(old)
	}
}

// readUnguarded reads the body of a request that didn't come through a Listener.
func readUnguarded(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration) ([]byte, error) {
	ctl := http.NewResponseController(w)
	// The deadline is cleared after the body has been read, or it would end the wait for the answer. A
	// ResponseWriter without deadlines, as in tests, is not an error.
	_ = ctl.SetReadDeadline(time.Now().Add(within))
	defer func() { _ = ctl.SetReadDeadline(time.Time{}) }()
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}
