package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/routing"
)

// Guards against an entry that answers every best-effort job with owner_changed until it is
// restarted, although it reports ready. The failure came about when a link was lost and
// established again, then closed because it was no longer needed, and dialled again later.
func TestEntryServesAfterALinkIsDialledAgain(t *testing.T) {
	is := is.New(t)
	a := startFakeAgent(t)
	a.useWorker()
	e := newTestEntry(t, a)
	policy := &job.Policy{Service: "desk"}
	coretest.Await(t, func() bool { return e.bestEffort.ReachableAgents() == 1 })

	a.breakLink()
	coretest.Await(t, func() bool { return a.linkCount() == 2 })
	coretest.Await(t, func() bool { return e.bestEffort.ReachableAgents() == 1 })

	e.links.Drop(a.addr)
	e.bestEffort.Step(func(now time.Duration) owner.Effects { return e.bestEffort.Tick(now + time.Minute) }) // the lost link times out
	e.links.Reconcile(time.Hour)
	coretest.Await(t, func() bool { return a.linkCount() == 3 })

	e.table.Store(&routing.Table{})
	coretest.Await(t, e.Ready)
	ctx, disconnect := context.WithCancel(context.Background())
	got := make(chan owner.Response, 1)
	go func() { got <- e.submitBestEffort(ctx, testJob, bestEffortSpec(), policy) }()
	coretest.Await(t, func() bool { return a.orderCount() == 1 || len(got) > 0 })
	disconnect()
	is.Equal((<-got).Reason, owner.ReasonTimeLimit) // not owner_changed
	is.Equal(a.orderCount(), 1)
}

// An entry has links, but no agent has answered a claim on any of them, so it refuses every
// job. It must not report ready, because other entries could serve its clients.
func TestEntryWithoutAnsweredClaimsIsNotReady(t *testing.T) {
	is := is.New(t)
	a := startFakeAgent(t)
	a.silent = true
	e := newTestEntry(t, a)
	e.table.Store(&routing.Table{})
	is.True(e.Linked())
	is.True(!e.Ready())
}
