package memlimit

import (
	"math"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

const megabyte = 1 << 20

// The live heap exceeds the limit, for example in an agent with more claims than its
// operator planned for. With a fixed limit the collector would run continuously and use
// half of the host's processors. The limit must rise with the live heap and return to
// the configured value when the live heap shrinks.
func TestLimitGivesWayToWhatLives(t *testing.T) {
	is := is.New(t)
	collected := make(chan struct{}, 1)
	l := set(32*megabyte, func() {
		select {
		case collected <- struct{}{}:
		default:
		}
	})
	defer l.Stop()
	after := func() int64 {
		// Collect twice, because the first collection may have begun before the
		// latest allocation.
		for range 2 {
			runtime.GC()
			<-collected
		}
		return debug.SetMemoryLimit(-1)
	}
	is.Equal(after(), int64(32*megabyte))
	alive := make([]byte, 128*megabyte)
	is.True(after() >= 192*megabyte)
	runtime.KeepAlive(alive)
	is.Equal(after(), int64(32*megabyte))
	l.Stop()
	is.Equal(debug.SetMemoryLimit(-1), int64(math.MaxInt64))
}

func TestRoomIsLeftBesideStacks(t *testing.T) {
	is := is.New(t)
	is.Equal(limitFor(64*megabyte, usage{live: 8 * megabyte, other: 10 * megabyte}), int64(64*megabyte))
	is.Equal(limitFor(64*megabyte, usage{live: 80 * megabyte, other: 10 * megabyte}), int64(130*megabyte))
}

// Without a limit, the limit that the environment has set must stay.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	before := debug.SetMemoryLimit(-1)
	Set(0).Stop()
	is.Equal(debug.SetMemoryLimit(-1), before)
}
