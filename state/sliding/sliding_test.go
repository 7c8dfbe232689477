package sliding

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against letting through up to twice the bound within one span. A counter that is
// reset at fixed intervals does so in a span that begins in the middle of an interval.
func TestNoSpanHasMoreThanItsBound(t *testing.T) {
	is := is.New(t)
	const bound = 10
	for _, resolution := range []time.Duration{0, 50 * time.Millisecond} {
		w := Window{Span: time.Second, Resolution: resolution}
		var taken []time.Duration
		for now := 900 * time.Millisecond; now < 5*time.Second; now += 7 * time.Millisecond {
			if w.Sum(now) < bound {
				w.Add(now, 1)
				taken = append(taken, now)
			}
		}
		for i := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at-taken[i] < time.Second {
					n++
				}
			}
			is.True(n <= bound)
		}
		is.True(len(taken) >= 3*bound)
	}
}

// Guards against a wait after which too many events are still in the window, and against one
// that is longer than needed.
func TestWaitIsExact(t *testing.T) {
	is := is.New(t)
	w := Window{Span: time.Second}
	w.Add(0, 3)
	w.Add(400*time.Millisecond, 2)
	now := 500 * time.Millisecond
	is.Equal(w.Wait(now, 5), time.Duration(0))
	is.Equal(w.Wait(now, 4), 500*time.Millisecond)
	is.Equal(w.Wait(now, 1), 900*time.Millisecond)
	is.Equal(w.Sum(now+500*time.Millisecond), 2)
}

// Guards against memory use that grows with the number of events: at most 21 groups of 50 ms
// fit into a span of 1 s.
func TestResolutionBoundsMemory(t *testing.T) {
	is := is.New(t)
	w := Window{Span: time.Second, Resolution: 50 * time.Millisecond}
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Microsecond {
		w.Add(now, 1)
	}
	is.True(len(w.events) <= 21)
}
