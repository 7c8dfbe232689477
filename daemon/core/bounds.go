package core

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/state/settings"
)

const (
	// ownerSilence is how long an owner may be silent before its runs are
	// stopped: longer than a link takes to be found lost and made anew (0.7 s,
	// a pause and a dial), so that a silent connection stops nothing.
	ownerSilence = 1300 * time.Millisecond
	// relink is how long an owner may take to make a lost link anew; it dials
	// again within 0.3 s. Clients of an entry that was killed send their jobs
	// again after 1.3 s.
	relink = 700 * time.Millisecond
	// adoption is how long a run of this agent's earlier life waits for its
	// owner: a lost link is dialled again within 0.3 s.
	adoption = 400 * time.Millisecond
	// groupTTL is the membership's time to live at least: a dead agent's
	// shards are without an owner for that long, a slow call must fit into it.
	groupTTL = 1200 * time.Millisecond
	// joinEvery is the pace of joins; four fit into the time to live.
	joinEvery = 250 * time.Millisecond
	// renewLimit is how long after its last successful join an owner goes on
	// renewing what it has ordered: longer than the store's usual outages.
	renewLimit = 6 * time.Second
	// lazyWrite is how long an end may wait for its record: a fraction of the
	// platform's 4 s to acknowledge it.
	lazyWrite = 700 * time.Millisecond
	// leaseSlack covers what a lease lasts beyond its nominal time on a slow
	// clock, the stop and the agent's ticks.
	leaseSlack = 300 * time.Millisecond
	// tickEvery is the pace of a shard's clock.
	tickEvery = 50 * time.Millisecond
	// coverWait is how long a job waits for links to agents that offer what it needs, where
	// too few of the linked ones do: a dial and the first news take 30 ms.
	coverWait = 200 * time.Millisecond
	// configWait is how long a read of the configuration waits for news; with
	// followSlack a silent connection is found within the platform's 2 s.
	configWait = 600 * time.Millisecond
	// OwnersGroup is the name under which agents share the shards.
	OwnersGroup = "owners"
)

// ownerBounds are those of an owner, of recorded jobs or of an entry's.
func ownerBounds(s *settings.Settings) owner.Bounds {
	waitOut := ownerSilence + s.Bounds.Lease + leaseSlack
	return owner.Bounds{
		WaitOut:   waitOut,
		Takeover:  waitOut + renewLimit,
		Retention: 2 * s.Bounds.Retention,
		LazyWrite: lazyWrite,
	}
}
