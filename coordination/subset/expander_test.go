package subset

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func freeShare(free float64) func() float64 { return func() float64 { return free } }

// The agents of a subset are full or accept no work while the rest of the fleet has free
// capacity. Refused jobs add links until no job is refused any more; the links are removed
// afterwards.
func TestFullSubsetGrowsWhileOthersHaveRoom(t *testing.T) {
	is := is.New(t)
	e := NewExpander(32)
	now := time.Hour
	is.Equal(e.Extra(now, freeShare(1)), 0)
	last := 0
	for range 12 {
		now += adjustInterval
		e.RecordRefusal(now)
		extra := e.Extra(now, freeShare(0.5))
		is.True(extra > last || extra == 32)
		last = extra
	}
	is.Equal(last, 32) // at most twice the subset
	now += keepAfterRefusal + adjustInterval
	is.Equal(e.Extra(now, freeShare(0.5)), 0)
}

// When the whole fleet is full, more links only have more processes place work on the same free
// cores. The added links are removed and tried again after a pause.
func TestFullFleetDropsExtraLinks(t *testing.T) {
	is := is.New(t)
	e := NewExpander(32)
	now := time.Hour
	most, looks := 0, 0
	for end := now + 3*time.Second; now < end; now += 50 * time.Millisecond {
		e.RecordRefusal(now)
		extra := e.Extra(now, freeShare(0.01))
		most = max(most, extra)
		if extra > 0 {
			looks++
		}
	}
	is.Equal(most, 4)
	is.True(time.Duration(looks)*50*time.Millisecond <= 2*adjustInterval)
}
