package core

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/state/settings"
)

const (
	// OwnerSilence is how long an owner may be silent before its runs are
	// stopped: longer than a link takes to be found lost and made anew (0.7 s,
	// a pause and a dial), so that a silent connection stops nothing.
	OwnerSilenceTimeout = 1300 * time.Millisecond
	// Relink is how long an owner may take to make a lost link anew; it dials
	// again within 0.3 s. Clients of an entry that was killed send their jobs
	// again after 1.3 s.
	RelinkTimeout = 700 * time.Millisecond
	// Adoption is how long a run of this agent's earlier life waits for its
	// owner: a lost link is dialled again within 0.3 s.
	AdoptionTimeout = 400 * time.Millisecond
	// GroupTTL is the membership's time to live at least: a dead agent's
	// shards are without an owner for that long, a slow call must fit into it.
	GroupTTL = 1200 * time.Millisecond
	// JoinEvery is the pace of joins; four fit into the time to live.
	JoinInterval = 250 * time.Millisecond
	// RenewLimit is how long after its last successful join an owner goes on
	// renewing what it has ordered: longer than the store's usual outages.
	RenewLimit = 6 * time.Second
	// lazyWrite is how long an end may wait for its record: a fraction of the
	// platform's 4 s to acknowledge it.
	maxWriteDelay = 700 * time.Millisecond
	// leaseSlack covers what a lease lasts beyond its nominal time on a slow
	// clock, the stop and the agent's ticks.
	leaseSlack = 300 * time.Millisecond
	// TickEvery is the pace of a shard's clock.
	TickInterval = 50 * time.Millisecond
	// CoverWait is how long a job waits for links to agents that offer what it needs, where
	// too few of the linked ones do: a dial and the first news take 30 ms.
	LinkWaitTimeout = 200 * time.Millisecond
	// ConfigWait is how long a read of the configuration waits for news; with
	// followSlack a silent connection is found within the platform's 2 s.
	ConfigWait = 600 * time.Millisecond
	// OwnersGroup is the name under which agents share the shards.
	OwnersGroup = "owners"
)

// OwnerBounds are those of an owner, of recorded jobs or of an entry's.
func OwnerBounds(s *settings.Settings) owner.Bounds {
	lostLinkTimeout := OwnerSilenceTimeout + s.Bounds.Lease + leaseSlack
	return owner.Bounds{
		LostLinkTimeout: lostLinkTimeout,
		TakeoverTimeout: lostLinkTimeout + RenewLimit,
		Retention:       2 * s.Bounds.Retention,
		MaxWriteDelay:   maxWriteDelay,
	}
}
