// Package asynclog writes log lines without ever holding up whoever logs: lines
// wait in a bounded queue, and what doesn't fit or exceeds the rate is counted
// and left out.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/shallotstep/shallotstep/state/sliding"
)

const (
	// queueLines holds the lines of a burst of some hundred decisions.
	queueCapacity = 2048
	// linesPerSecond bounds the processor time that logging takes: at about
	// 5 µs a line, 1 % of a core.
	maxLinesPerSecond = 2000
	// gatherFor is how long a line waits for others, so that they are written in
	// one call: at 900 lines a second a call for each takes 2 % of a core. A
	// process that is killed loses the lines of that time.
	batchDelay = 20 * time.Millisecond
	// reportEvery is the pace of the line that counts what was left out.
	reportInterval = 5 * time.Second
)

// Writer is an io.Writer for whole lines. Write never blocks.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a writer in front of out. Close writes what is queued.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a line. It reports success also for a line that is left out: the
// count of those is written later, and nobody could do better with an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out since the last report.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued and ends the writer.
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
				text = fmt.Appendf(text, "W log lines left out: %d\n", n)
			}
		}
		if _, err := out.Write(text); err != nil {
			// Nothing is left to report this to.
			w.dropped.Add(1)
		}
	}
}

// gather appends a line and all that are queued, as far as the rate allows.
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

// rate bounds the lines of any second.
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
