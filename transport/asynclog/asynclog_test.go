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

// countingOutput notes what is written and in how many calls.
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

// A decision on each of some hundred tasks is logged within a few milliseconds.
// Written one by one the lines would cost a call of the system each, more than
// making them does. All of them come out, in their order, in few calls.
func TestBurstIsWrittenTogether(t *testing.T) {
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

// blockedOutput takes nothing until it is released.
type blockedOutput struct{ release chan struct{} }

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.release
	return len(b), nil
}

// Whoever reads the log stands still. Whoever writes to it must not: lines that
// don't fit are left out and counted, and the writers go on.
func TestStoppedReaderHoldsNobodyUp(t *testing.T) {
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
		t.Fatal("a writer was held up")
	}
	is.True(w.Dropped() > 0)
	close(out.release)
	w.Close()
}

// The rate bounds the lines of a second, and lets as many through once that has passed.
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

// Guards against twice the bound of lines, and of processor time, in a second that begins in
// the middle of a counted one.
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
