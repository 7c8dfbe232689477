package core

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/shares"
	"github.com/shallotstep/shallotstep/daemon/budget"
	"github.com/shallotstep/shallotstep/state/settings"
)

const (
	// OwnerTimeout is how long an owner may be silent before an agent stops its
	// runs. It exceeds the time to detect a lost link (0.7 s) and to connect again (a backoff
	// and a dial), so that one silent connection stops no run.
	OwnerTimeout = 1300 * time.Millisecond
	// ReconnectTimeout is how long an owner may take to reconnect after its link has ended. It
	// dials again within 0.3 s. Clients of a killed entry resubmit their jobs after 1.3 s.
	ReconnectTimeout = 700 * time.Millisecond
	// AdoptionTimeout is how long a run of an earlier incarnation of the agent may wait for
	// its owner to claim it. The owner dials a lost link again within 0.3 s.
	AdoptionTimeout = 400 * time.Millisecond
	// GroupTTL is the minimum time to live of a group membership. The shards of a dead agent
	// have no owner for that long, and a slow Join call must fit into it.
	GroupTTL = 1200 * time.Millisecond
	// JoinInterval is the interval between two Join calls. Four fit into GroupTTL.
	JoinInterval = 250 * time.Millisecond
	// RenewLimit is how long after its last successful Join an owner continues to renew the
	// leases of its runs. It exceeds the usual outages of the store.
	RenewLimit = 6 * time.Second
	// maxWriteDelay is how long the record of a run's end may be delayed: a fraction of the
	// 4 s within which the platform expects the end to be acknowledged.
	maxWriteDelay = 700 * time.Millisecond
	// leaseSlack covers the time that a lease lasts longer on a slow clock, the stop of the
	// run, and the agent's tick interval.
	leaseSlack = 300 * time.Millisecond
	// TickInterval is the interval between two ticks of a shard's state machine.
	TickInterval = 50 * time.Millisecond
	// NeedLinksTimeout is how long a job waits for new links when too few of the linked agents
	// offer what it needs; see LinkSet.RecordNeed. A dial and the first load report take 30 ms.
	NeedLinksTimeout = 200 * time.Millisecond
	// minConfigWait is the least time for which a read of the configuration waits for new
	// records.
	minConfigWait = 600 * time.Millisecond
	// configWaitMargin is the part of half the time for applying a configuration that is left
	// for the detection of a silent connection.
	configWaitMargin = 400 * time.Millisecond
	// OwnersGroup is the group among whose members, the agents, the store distributes the
	// shards.
	OwnersGroup = "owners"
)

// ConfigWait returns how long a read of the configuration waits for new records. A connection that
// has fallen silent is found followSlack later, and then the newest records are read. All of that
// has to fit into the time within which a configuration must be in force; within that, longer reads
// are fewer calls.
func ConfigWait(s *settings.Settings) time.Duration {
	return max(minConfigWait, s.Bounds.ConfigApply/2-configWaitMargin)
}

// MaxDrainsAge returns the age of the known drains from which on an agent reads them in the store
// itself. It is longer than the interval at which the entries hear from the store.
func MaxDrainsAge(s *settings.Settings) time.Duration { return ConfigWait(s) + drainsAgeMargin }

// drainsAgeMargin covers the answer of the store and the frame from the entry to the agent.
const drainsAgeMargin = 1400 * time.Millisecond

// OwnerBounds returns the time limits of an owner. They hold for recorded jobs and for the
// best-effort jobs of an entry.
func OwnerBounds(s *settings.Settings) owner.Bounds {
	lostLinkTimeout := OwnerTimeout + s.Bounds.Lease + leaseSlack
	return owner.Bounds{
		LostLinkTimeout: lostLinkTimeout,
		TakeoverTimeout: lostLinkTimeout + RenewLimit,
		Retention:       2 * s.Bounds.Retention,
		MaxWriteDelay:   maxWriteDelay,
	}
}

// OwnerParams returns the parameters of an owner, with the parts of scheduling that the settings
// switch on.
func OwnerParams(s *settings.Settings) owner.Params {
	p := owner.DefaultParams()
	p.ServerSpeeds = s.Scheduling.ServerSpeeds
	p.Shedding = s.Scheduling.Shedding
	if s.Limits.MemoryMB > 0 {
		p.JobMemory = budget.Of(s.Limits).JobBytes
	}
	if sh := s.Scheduling.Shares; sh != nil {
		p.Shares = &shares.Params{Floor: sh.Floor}
		if s.Role == settings.RoleEntry {
			// An entry's clients are those of its own failure domain. The owner of a recorded job
			// may be in any.
			p.Shares.Domain = s.Domain
		}
	}
	return p
}
