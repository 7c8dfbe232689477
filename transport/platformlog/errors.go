package platformlog

import (
	"fmt"
	"time"
)

// ErrRefused says that the record is certainly not in the log and won't be.
type ErrRefused struct {
	// Reason is a metric label: "dial", "too_large", "rate", "client", "cancelled".
	Reason string
	// RetryAfter is when the service wants to be asked again; zero if unsaid.
	RetryAfter time.Duration
	// Cause is the underlying error; it may be nil.
	Cause error
}

// Error implements error.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("append refused (%s): %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrRefused) Unwrap() error { return e.Cause }

// ErrUnknown says that the record may be in the log, now or later.
type ErrUnknown struct {
	// Reason is a metric label: "timeout", "connection", "server", "reply".
	Reason string
	Cause  error
}

// Error implements error.
func (e *ErrUnknown) Error() string {
	return fmt.Sprintf("append may be in the log (%s): %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrUnknown) Unwrap() error { return e.Cause }

// ErrGone says that the records asked for are no longer kept.
type ErrGone struct {
	// First is the lowest offset that can still be read.
	First int64
}

// Error implements error.
func (e *ErrGone) Error() string {
	return fmt.Sprintf("records are gone below offset %d", e.First)
}

// ErrBeyondEnd says that the offset asked for lies beyond the stream's end: the
// service has lost records that it had confirmed, or it is another service.
type ErrBeyondEnd struct {
	// End is the offset that the service's next append will get.
	End int64
}

// Error implements error.
func (e *ErrBeyondEnd) Error() string {
	return fmt.Sprintf("offset lies beyond the end %d", e.End)
}

// ErrRead says why a read failed. Reading again is always safe.
type ErrRead struct {
	// Reason is a metric label: "dial", "timeout", "connection", "server",
	// "client", "reply", "cancelled".
	Reason     string
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *ErrRead) Error() string {
	return fmt.Sprintf("read failed (%s): %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrRead) Unwrap() error { return e.Cause }
