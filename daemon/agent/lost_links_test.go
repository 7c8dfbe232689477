package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/peer"
)

// linkedWithRun links an agent on which a task of the owner's shard is then started.
func (a *Agent) linkedWithRun(t *testing.T, node string) *shardRunner {
	t.Helper()
	r := a.shard(groupShard)
	for _, c := range a.LinkUp(node, 1).GetClaims() {
		r.HandleClaimed(node, &corepb.Claimed{Shard: c.GetShard(), Epoch: c.GetEpoch(), Session: c.GetSession()})
	}
	room := job.Demand{CPUMillis: 16000, MemoryMB: 1024}
	a.fleet.Update(bootclock.Now(), node, owner.AgentLoad{Service: "desk", Capacity: room, Free: room, Accepts: true})
	coretest.Await(t, func() bool { return r.ReachableAgents() == 1 })
	spec := job.Spec{Steps: []job.Step{{Count: 1, Demand: job.Demand{CPUMillis: 100, MemoryMB: 1}, Estimate: time.Minute}}}
	r.Step(func(now time.Duration) owner.Effects {
		return r.Shard.Submit(now, otherJob, spec, job.Policy{Queue: "q", Service: "desk", MaxAttempts: 3, Slack: 2, Target: time.Hour}, func(owner.Response) {})
	})
	coretest.Await(t, func() bool { return r.MayHaveRunsAt(node) })
	return r
}

// Guards against starting tasks a second time, after an outage of the store, whose runs the heartbeats on a
// link that came up in the outage keep active.
func TestAgentLinkedDuringAnOutageIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	a := newMember(t, &memberStore{})
	coretest.Await(t, a.owns(groupShard))
	r := a.linkedWithRun(t, "b")
	a.joinedAt.Set(bootclock.Now() - 2*core.GroupTTL)
	a.LinkDown("b", 1)
	is.Equal(len(a.LinkUp("b", 2).GetClaims()), 0)
	a.joinedAt.Set(bootclock.Now()) // by a join whose claims are not sent yet
	r.SetOwnershipConfirmed(true)
	fx := r.Tick(bootclock.Now() + 2*core.OwnerBounds(a.settings).LostLinkTimeout)
	is.Equal(runsLost(fx), 0)
}

// Guards against starting tasks a second time, after the group has changed and while the store is asked whether
// the shard has a newer owner, whose runs the heartbeats on a new link keep active.
func TestAgentLinkedWhileAShardIsUnverifiedIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	st := &memberStore{}
	a := newMember(t, st)
	coretest.Await(t, a.owns(groupShard))
	r := a.linkedWithRun(t, "b")
	st.setRejects(true)
	st.assign(8, true)
	join(t, a)
	a.LinkDown("b", 1)
	first := a.LinkUp("b", 2)
	is.Equal(len(first.GetClaims()), 0)
	is.Equal(len(first.GetSessionStart().GetHeld()), 1)
	st.setRejects(false)
	coretest.Await(t, func() bool { return !r.Unverified() })
	fx := r.Tick(bootclock.Now() + 2*core.OwnerBounds(a.settings).LostLinkTimeout)
	is.Equal(runsLost(fx), 0)
}

// Guards against an agent that is never given up after a link that could not be claimed is lost again.
func TestAgentLostAfterAnOutageIsGivenUpInTime(t *testing.T) {
	is := is.New(t)
	a := newMember(t, &memberStore{})
	coretest.Await(t, a.owns(groupShard))
	r := a.linkedWithRun(t, "b")
	a.joinedAt.Set(bootclock.Now() - 2*core.GroupTTL)
	a.LinkDown("b", 1)
	a.LinkUp("b", 2)
	a.LinkDown("b", 2)
	lostAt := bootclock.Now()
	a.joinedAt.Set(lostAt)
	r.SetOwnershipConfirmed(true)
	is.Equal(runsLost(r.Tick(lostAt+core.OwnerBounds(a.settings).LostLinkTimeout-core.TickInterval)), 0)
	is.Equal(runsLost(r.Tick(lostAt+core.OwnerBounds(a.settings).LostLinkTimeout+core.TickInterval)), 1)
}

func runsLost(fx owner.Effects) int {
	n := 0
	for _, d := range fx.Log {
		if d.Kind == "run_lost" {
			n++
		}
	}
	return n
}

// Guards against an agent that goes on taking a process for the owner of a shard that its new session doesn't
// name.
func TestFirstFrameOfASessionReleasesOtherShards(t *testing.T) {
	for name, held := range map[string][]*corepb.Ownership{"released": nil, "held": {{Shard: groupShard, Epoch: 7}}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := New(groupSettings(), &memberStore{}, core.DrainSource{}, nil)
			a.markerStored.Store(true)
			c := peer.NewCaller("b/1")
			is.NoErr(a.Frame(c, &corepb.ToAgent{Claims: []*corepb.Claim{{Shard: groupShard, Epoch: 7, Session: 1}}}))
			is.NoErr(a.Frame(c, &corepb.ToAgent{SessionStart: &corepb.SessionStart{Session: 2, Held: held}}))
			// Only the owner of a shard can have been silent for too long.
			owns := !a.worker.Heard(bootclock.Now()+2*core.OwnerTimeout, c.Node)
			is.Equal(owns, held != nil)
		})
	}
}
