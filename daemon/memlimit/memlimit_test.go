package memlimit

import (
	"math"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

const megabyte = 1 << 20

// A process holds more than its limit, as an agent does whose claims outgrow
// what its operator planned for. The collector would run without pause and take
// half of the host; so the limit must give way, and come back when it can.
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
		// The first collection finds what lives, the second may have begun
		// before it was allocated.
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

// No limit leaves alone what the environment has set.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	before := debug.SetMemoryLimit(-1)
	Set(0).Stop()
	is.Equal(debug.SetMemoryLimit(-1), before)
}
