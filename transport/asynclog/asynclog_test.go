package asynclog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// countingOutput records what is written to it and counts the calls.
type countingOutput struct {
	mu    sync.Mutex
	calls int
	text  bytes.Buffer
}

func (o *countingOutput) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	return o.text.Write(b)
}

// Guards against a system call for each line of a burst, which costs more than formatting the
// line: the decisions on a few hundred tasks are logged within a few milliseconds. All lines
// are written in their order, in few calls.
func TestBurstIsWrittenInFewCalls(t *testing.T) {
	is := is.New(t)
	var out countingOutput
	w := New(&out)
	const lines = 500
	var want strings.Builder
	for i := range lines {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		is.NoErr(err)
	}
	w.Close()
	is.Equal(out.text.String(), want.String())
	is.True(out.calls < lines/10)
}

// blockedOutput blocks every Write until release is closed.
type blockedOutput struct{ release chan struct{} }

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.release
	return len(b), nil
}

// Guards against callers that block because the log's reader has stopped reading: lines that
// don't fit are dropped and counted, and the callers continue.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3 * queueCapacity {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-written:
	case <-time.After(time.Minute):
		t.Fatal("the calls of Write did not return within a minute")
	}
	is.True(w.Dropped() > 0)
	close(out.release)
	w.Close()
}

// The limiter allows maxLinesPerSecond lines in a second, and as many again once that second
// has passed.
func TestRateOfLines(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newRateLimiter(now)
	for range maxLinesPerSecond {
		is.True(r.allow(now))
	}
	is.True(!r.allow(now.Add(time.Second - 1)))
	is.True(r.allow(now.Add(time.Second)))
}

// Guards against counting in fixed seconds, which allows twice the limit of lines, and of
// processor time, in a second that begins in the middle of a counted one.
func TestLinesOfAnySecondAreBounded(t *testing.T) {
	is := is.New(t)
	begin := time.Now()
	r := newRateLimiter(begin)
	var taken []time.Duration
	for at := 900 * time.Millisecond; at < 4*time.Second; at += 200 * time.Microsecond {
		if r.allow(begin.Add(at)) {
			taken = append(taken, at)
		}
	}
	from := 0
	for i, at := range taken {
		for at-taken[from] >= time.Second {
			from++
		}
		is.True(i-from+1 <= maxLinesPerSecond)
	}
}

// Guards against log lines that quote megabytes of what another writer has sent.
func TestLongLineIsCut(t *testing.T) {
	is := is.New(t)
	var out countingOutput
	w := New(&out)
	_, err := w.Write(append(bytes.Repeat([]byte("x"), 1<<20), '\n'))
	is.NoErr(err)
	w.Close()
	is.True(out.text.Len() < maxLineBytes+100)
	is.True(strings.HasSuffix(out.text.String(), "[cut]\n"))
}
