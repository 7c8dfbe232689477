package worker

import (
	"testing"
	"time"
)

// Guards against heartbeats that keep the runs of a shard active whose release was lost with a link.
func TestShardThatASessionDoesNotNameIsReleased(t *testing.T) {
	f := newFixture(t)
	f.claimAs("owner-1/a", 2)
	f.claimAs("owner-1/a", 3)
	kept, released := f.order(1), f.order(2)
	kept.Shard, released.Shard = 2, 3
	f.send(kept)
	f.send(released)
	f.LinkLost(f.now, "owner-1/a")
	f.SessionStarted("owner-1/a", 2, map[int]int64{2: 1})
	for range 30 {
		f.is.True(f.Heard(f.now, "owner-1/a"))
		f.advance(100 * time.Millisecond)
		f.hold()
		f.collect(f.Tick(f.now))
	}
	f.is.Equal(len(f.stops), 1)
	f.is.Equal(f.stops[0].Run, released.Run)
}

// Guards against heartbeats that keep runs of a shard active from before its owner opened it anew.
func TestShardHeldInAnEarlierEpochIsReleased(t *testing.T) {
	f := newFixture(t)
	f.claimAs("owner-1/a", 2)
	o := f.order(1)
	o.Shard = 2
	f.send(o)
	f.SessionStarted("owner-1/a", 2, map[int]int64{2: 2}) // opened anew, and not claimed here
	for range 30 {
		f.Heard(f.now, "owner-1/a")
		f.advance(100 * time.Millisecond)
		f.hold()
		f.collect(f.Tick(f.now))
	}
	f.is.Equal(len(f.stops), 1)
}

// Guards against a first frame that was held up on an earlier link and releases what a later one claimed.
func TestLateStartOfAnEarlierSessionReleasesNothing(t *testing.T) {
	f := newFixture(t)
	f.Claim(f.now, Claim{Shard: 2, Epoch: 1, Session: 3, Owner: "owner-1/a"})
	f.SessionStarted("owner-1/a", 2, nil)
	f.advance(testBounds.OwnerTimeout + time.Millisecond)
	f.is.True(!f.Heard(f.now, "owner-1/a")) // the shard still counts as its own
}
