package agent

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
)

// acceptingStore accepts every write.
type acceptingStore struct{ coretest.RejectingStore }

func (acceptingStore) Append(context.Context, store.Partition, *store.Producer, []store.Record) (int64, error) {
	return 0, nil
}

// newTestRunner returns the runner of a shard with one linked agent. The runner's goroutine is not
// started, so the test has to call writeNext.
func newTestRunner(st store.Store) *shardRunner {
	s := &settings.Settings{Role: settings.RoleAgent, Name: "a", Store: settings.Store{Topics: 1, Partitions: coretest.Shards, WritesPerSecond: 1e6}}
	a := New(s, st, core.DrainSource{}, nil)
	a.links, _ = fakeLinks(a, a.fleet)
	now := bootclock.Now()
	r := &shardRunner{agent: a, partition: store.Partition{Topic: "jobs"}, ShardDriver: core.NewShardDriver(owner.New(now, 1, 1, core.OwnerBounds(s), a.fleet, nil, nil, nil), a.links, a.metrics)}
	a.fleet.Linked("b")
	a.fleet.Update(now, "b", owner.AgentLoad{Service: "desk", Accepts: true, Capacity: job.Demand{CPUMillis: 1000}, Free: job.Demand{CPUMillis: 1000}})
	r.Step(func(now time.Duration) owner.Effects {
		claim, _, fx := r.Linked(now, "b", 1)
		r.Claimed(now, "b", worker.Claimed{Claim: claim})
		return fx
	})
	r.writeNext(context.Background())
	return r
}

// submit submits a job to the runner, writes what is due, and returns the response.
func (r *shardRunner) submit(id job.ID, payload string) owner.Response {
	var got owner.Response
	spec := job.Spec{Payload: payload, Steps: []job.Step{{Count: 1, Demand: job.Demand{CPUMillis: 100}}}}
	r.Step(func(now time.Duration) owner.Effects {
		return r.Submit(now, id, spec, job.Policy{Service: "desk", Slack: 2, Target: time.Minute}, func(v owner.Response) { got = v })
	})
	for r.writeNext(context.Background()) {
	}
	return got
}

// The record of one job can't be encoded, and that job is refused. The shard then took the store
// for unavailable and refused all other jobs. It never recovered, because no write was left that
// could succeed.
func TestRecordThatCannotBeEncodedRefusesNoOtherJob(t *testing.T) {
	is := is.New(t)
	r := newTestRunner(acceptingStore{})
	is.Equal(r.submit("00000000000000a1", "fine").Outcome, owner.OK)
	is.Equal(r.submit("00000000000000a2", "no text: \xff").Outcome, owner.Refused)
	coretest.Await(t, func() bool { return r.submit("00000000000000a3", "fine").Outcome == owner.OK })
}
