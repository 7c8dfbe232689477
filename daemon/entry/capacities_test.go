package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/store"
)

// An entry links a few of many agents, and a task is larger than those are. Refused by what
// is linked it was said to fit nowhere, beside a backend server that has room for it. What a
// linked one says now goes before what it has registered.
func TestCapacitiesAreThoseOfAllKnownAgents(t *testing.T) {
	is := is.New(t)
	e := New(coretest.Settings(), coretest.RejectingStore{}, store.Partition{Topic: "config"}, nil, core.DrainSource{})
	offer := `{"links":"10.0.0.%d:7","offer":{"service":"desk","capacity":{"CPUMillis":%d}}}`
	e.links.Apply(store.Record{Key: "linked", Value: fmt.Appendf(nil, offer, 1, 8000)})
	e.links.Apply(store.Record{Key: "other", Value: fmt.Appendf(nil, offer, 2, 32000)})
	e.fleet.Linked("linked")
	e.fleet.Update(time.Hour, "linked", owner.AgentLoad{Service: "desk", Capacity: job.Demand{CPUMillis: 4000}})
	got := e.Capacities("desk")
	slices.SortFunc(got, func(a, b job.Demand) int { return int(a.CPUMillis - b.CPUMillis) })
	is.Equal(got, []job.Demand{{CPUMillis: 4000}, {CPUMillis: 32000}})
	is.Equal(len(e.Capacities("other")), 0)
}
