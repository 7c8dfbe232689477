package agent

import (
	"testing"

	"github.com/matryer/is"
)

// An agent opens a shard again and again within one generation, as while the
// store fails it in the middle. Each epoch must go before the ones before it:
// a lower one is fenced by the agent's own earlier try, and the shard's jobs
// stand still until the group changes.
func TestEpochsOfAShardOnlyRise(t *testing.T) {
	is := is.New(t)
	var e epochs
	last := int64(0)
	for range 3 * epochsPerGeneration / 2 {
		n := e.next(3, 7)
		is.True(n > last)
		last = n
	}
	is.True(last < 9*epochsPerGeneration) // it did not run away
	is.True(e.next(3, 8) > last)          // also where the room was used up
	is.Equal(e.next(4, 8), int64(8*epochsPerGeneration))
	is.Equal(e.next(4, 9), int64(9*epochsPerGeneration))
}

// The earlier owner of a shard had used up its generation's epochs, so that the
// next owner's first one is lower and fenced. It must get past it by itself.
func TestFencedOwnerReachesAHigherEpoch(t *testing.T) {
	is := is.New(t)
	var earlier, e epochs
	held := int64(0)
	for range 2 * epochsPerGeneration {
		held = earlier.next(0, 5)
	}
	tries := 0
	for e.next(0, 6) <= held {
		e.fenced(0)
		tries++
	}
	is.True(tries <= 2)
}
