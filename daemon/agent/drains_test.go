package agent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/peer"
)

// drainStore has one drain and counts the reads of the whole partition.
type drainStore struct {
	coretest.RejectingStore
	reads atomic.Int32
}

func (s *drainStore) Newest(context.Context, store.Partition) ([]store.Record, int64, error) {
	s.reads.Add(1)
	return []store.Record{{Key: "iksan"}}, 7, nil
}

// newDrainAgent returns an agent in failure domain iksan with one caller.
func newDrainAgent(st store.Store) *Agent {
	set := coretest.Settings()
	set.Domain = "iksan"
	decode := func(r store.Record) (drains.Change, bool, error) {
		return drains.Change{Domain: r.Key, Drained: true}, true, nil
	}
	a := New(set, st, core.DrainSource{Partition: store.Partition{Topic: "drains"}, Decode: decode}, nil)
	a.links, _ = fakeLinks(a, a.fleet)
	a.callerStates[peer.NewCaller("entry")] = &callerState{}
	return a
}

// After a power failure all agents and entries start at once, and the entries have not heard from
// the store yet. An agent must give its callers time before it reads the whole partition itself,
// but must read it in the end.
func TestNewAgentWaitsForItsCallersDrains(t *testing.T) {
	is := is.New(t)
	st := &drainStore{}
	a := newDrainAgent(st)
	a.checkDrains(t.Context(), a.started+core.MaxDrainsAge(a.settings)-time.Millisecond)
	is.Equal(st.reads.Load(), int32(0))
	a.checkDrains(t.Context(), a.started+core.MaxDrainsAge(a.settings))
	coretest.Await(t, func() bool { return a.worker.Load(a.started).Drained })
	is.Equal(st.reads.Load(), int32(1))
}

// An agent without callers gets no orders, so it must not read the drains.
func TestAgentWithoutCallersReadsNoDrains(t *testing.T) {
	is := is.New(t)
	st := &drainStore{}
	a := newDrainAgent(st)
	clear(a.callerStates)
	a.checkDrains(t.Context(), a.started+time.Hour)
	is.Equal(st.reads.Load(), int32(0))
	is.True(!a.readingDrains.Load())
}
