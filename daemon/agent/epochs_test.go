package agent

import (
	"testing"

	"github.com/matryer/is"
)

// An agent opens a shard repeatedly within one generation, for example while the
// store fails in the middle of a takeover. Each epoch must be higher than the last:
// a lower one is fenced by the agent's own earlier attempt, and the jobs of the shard
// make no progress until the group changes.
func TestEpochsOfAShardOnlyRise(t *testing.T) {
	is := is.New(t)
	var e epochs
	last := int64(0)
	for range 3 * epochsPerGeneration / 2 {
		n := e.next(3, 7)
		is.True(n > last)
		last = n
	}
	is.True(last < 9*epochsPerGeneration) // the epochs stay within two generations
	is.True(e.next(3, 8) > last)          // also after the epochs of a generation were used up
	is.Equal(e.next(4, 8), int64(8*epochsPerGeneration))
	is.Equal(e.next(4, 9), int64(9*epochsPerGeneration))
}

// The previous owner of a shard has used up the epochs of its generation, so the first
// epoch of the next owner is lower and fenced. The next owner must reach a higher epoch
// within a few attempts, without a change of the group.
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
