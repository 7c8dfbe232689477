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
func TestLimitRisesWithLiveHeap(t *testing.T) {
	is := is.New(t)
	adjusted := make(chan struct{}, 1)
	l := set(32*megabyte, func() {
		select {
		case adjusted <- struct{}{}:
		default:
		}
	})
	defer l.Stop()
	limitAfterGC := func() int64 {
		// Collect twice, because the first collection may have begun before the
		// latest allocation.
		for range 2 {
			runtime.GC()
			<-adjusted
		}
		return debug.SetMemoryLimit(-1)
	}
	is.Equal(limitAfterGC(), int64(32*megabyte))
	alive := make([]byte, 128*megabyte)
	is.True(limitAfterGC() >= 192*megabyte)
	runtime.KeepAlive(alive)
	is.Equal(limitAfterGC(), int64(32*megabyte))
	l.Stop()
	is.Equal(debug.SetMemoryLimit(-1), int64(math.MaxInt64))
}

func TestLimitForLeavesRoomToGrow(t *testing.T) {
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
