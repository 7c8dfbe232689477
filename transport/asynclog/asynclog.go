// Package asynclog writes log lines without blocking the caller: lines wait in a bounded
// queue, and lines that don't fit or exceed the rate limit are counted and dropped.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/shallotstep/shallotstep/state/sliding"
)

const (
	// queueCapacity is the number of lines in the queue, enough for a burst of a few
	// hundred decisions.
	queueCapacity = 2048
	// maxLinesPerSecond bounds the processor time of logging: at about 5 µs a line it is
	// 1 % of a core.
	maxLinesPerSecond = 2000
	// maxLineBytes bounds a line, which may quote what others have sent.
	maxLineBytes = 8 << 10
	// batchDelay is how long a line waits for others, so that they are written in one
	// call: at 900 lines a second, one call for each line takes 2 % of a core. A process
	// that is killed loses the lines of the last batchDelay.
	batchDelay = 20 * time.Millisecond
	// reportInterval is the shortest time between two log lines that report the number
	// of dropped lines.
	reportInterval = 5 * time.Second
)

// Writer is an io.Writer that takes one whole line per Write. Write never blocks and is safe
// for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a writer that writes to out in the background until Close is called.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a copy of line. It returns no error for a line that is dropped: dropped lines
// are counted in a later log line, and a caller couldn't handle the error any better. A line is cut after
// maxLineBytes.
func (w *Writer) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(queued) < len(line) {
		queued = append(queued, " [cut]\n"...)
	}
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last report.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. Write must not be called afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	r := newRateLimiter(time.Now())
	reported := time.Now()
	var text []byte
	for line := range w.lines {
		time.Sleep(batchDelay)
		now := time.Now()
		text = w.batch(text[:0], r, now, line)
		if now.Sub(reported) >= reportInterval {
			reported = now
			if n := w.dropped.Swap(0); n > 0 {
				text = fmt.Appendf(text, "W log lines dropped: %d\n", n)
			}
		}
		if _, err := out.Write(text); err != nil {
			// There is no other output to report the error to.
			w.dropped.Add(1)
		}
	}
}

// batch appends line and all queued lines to text, except those over the rate limit.
func (w *Writer) batch(text []byte, r *rateLimiter, now time.Time, line []byte) []byte {
	for {
		if r.allow(now) {
			text = append(text, line...)
		} else {
			w.dropped.Add(1)
		}
		select {
		case next, ok := <-w.lines:
			if !ok {
				return text
			}
			line = next
		default:
			return text
		}
	}
}

// rateLimiter bounds the number of lines in any period of one second.
type rateLimiter struct {
	start time.Time
	lines sliding.Window
}

func newRateLimiter(now time.Time) *rateLimiter {
	return &rateLimiter{start: now, lines: sliding.Window{Span: time.Second, Resolution: batchDelay}}
}

func (r *rateLimiter) allow(now time.Time) bool {
	at := now.Sub(r.start)
	if r.lines.Sum(at) >= maxLinesPerSecond {
		return false
	}
	r.lines.Add(at, 1)
	return true
}
