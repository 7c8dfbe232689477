package agent

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
)

const (
	// groupShard is the shard that memberStore assigns.
	groupShard = 1
	// otherJob belongs to groupShard.
	otherJob job.ID = "00000000000000a1"
)

// memberStore is a store whose group has the memberships that a test sets, with one shard.
type memberStore struct {
	coretest.RejectingStore

	mu sync.Mutex
	// All fields below are guarded by mu.

	membership store.Membership
	epoch      int64
	records    []store.Record
	// calls counts the calls by name, and rejects makes all appends fail.
	calls   map[string]int
	rejects bool
	// reading, if set, is received from before a read returns.
	reading chan struct{}
}

// assign sets the generation of the group and whether the shard is the agent's.
func (s *memberStore) assign(generation int64, mine bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.membership = store.Membership{Generation: generation}
	if mine {
		s.membership.Partitions = []store.Partition{core.ShardSeries(groupSettings()).Partition(groupShard)}
	}
}

// holdElsewhere has another owner open the shard in a generation and accept a job.
func (s *memberStore) holdElsewhere(t *testing.T, generation int64) {
	t.Helper()
	value, err := wire.EncodeRecord(job.NewRecord(otherJob, job.Spec{Steps: []job.Step{{Count: 1}}}, job.Policy{Service: "desk"}, 1))
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = generation * epochsPerGeneration
	s.records = append(s.records, store.Record{Key: string(otherJob), Value: value})
}

func (s *memberStore) setRejects(rejects bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects = rejects
}

func (s *memberStore) count(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

func (s *memberStore) Join(context.Context, string, string, []string, time.Duration, int64) (store.Membership, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membership, nil
}

func (s *memberStore) Append(_ context.Context, _ store.Partition, by *store.Producer, _ []store.Record) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["append"]++
	switch {
	case s.rejects:
		return 0, store.ErrRejected
	case by.Epoch < s.epoch:
		return 0, store.ErrFenced
	}
	s.epoch = by.Epoch
	return 0, nil
}

func (s *memberStore) Newest(context.Context, store.Partition) ([]store.Record, int64, error) {
	s.mu.Lock()
	s.calls["newest"]++
	reading := s.reading
	s.mu.Unlock()
	if reading != nil {
		<-reading
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records, 0, nil
}

func groupSettings() *settings.Settings {
	s := coretest.Settings()
	s.Role, s.Name = settings.RoleAgent, "a"
	return s
}

// newMember returns an agent that has joined the group of a store in generation 5.
func newMember(t *testing.T, st *memberStore) *Agent {
	t.Helper()
	st.calls = make(map[string]int)
	a := New(groupSettings(), st, core.DrainSource{}, nil)
	a.links, _ = fakeLinks(a, a.fleet)
	st.assign(5, true)
	join(t, a)
	t.Cleanup(func() { a.release(nil) })
	return a
}

func join(t *testing.T, a *Agent) {
	t.Helper()
	if err := a.joinOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func (a *Agent) owns(shard int) func() bool { return func() bool { return a.shard(shard) != nil } }

// lookup returns the agent's response to a request for otherJob.
func (a *Agent) lookup() owner.Response {
	got := make(chan owner.Response, 1)
	a.Lookup(groupShard, otherJob, func(v owner.Response) { got <- v })
	return <-got
}

// Guards against serving a shard that came back with the state from before another agent has held it.
func TestShardHeldElsewhereInBetweenIsOpenedAnew(t *testing.T) {
	st := &memberStore{}
	a := newMember(t, st)
	coretest.Await(t, a.owns(groupShard))
	st.holdElsewhere(t, 6)
	st.assign(7, true)
	coretest.Await(t, func() bool {
		join(t, a)
		v := a.lookup()
		if v.Outcome == owner.Absent {
			t.Fatal("a job that the other owner has accepted is said not to exist")
		}
		return v.Outcome == owner.OK
	})
}

// Guards against jobs of another owner that stand still for as long as nobody asks for them.
func TestShardHeldElsewhereIsOpenedAnewUnasked(t *testing.T) {
	st := &memberStore{}
	a := newMember(t, st)
	coretest.Await(t, a.owns(groupShard))
	st.holdElsewhere(t, 6)
	st.assign(7, true)
	coretest.Await(t, func() bool {
		join(t, a)
		r := a.shard(groupShard)
		return r != nil && r.Epoch >= 7*epochsPerGeneration
	})
}

// Guards against an answer without regard to an owner of which no join has told yet.
func TestJobOfAnUnknownNewerOwnerIsNotAbsent(t *testing.T) {
	is := is.New(t)
	st := &memberStore{}
	a := newMember(t, st)
	coretest.Await(t, a.owns(groupShard))
	is.Equal(a.lookup().Outcome, owner.Absent)
	st.holdElsewhere(t, 6)
	is.Equal(a.lookup().Outcome, owner.NotOwner)
}

// Guards against opening a shard anew, or asking the store, without need.
func TestShardThatNobodyElseHeldStaysOpen(t *testing.T) {
	is := is.New(t)
	st := &memberStore{}
	a := newMember(t, st)
	coretest.Await(t, a.owns(groupShard))
	r := a.shard(groupShard)
	st.assign(6, true)
	join(t, a)
	is.Equal(st.count("append"), 1) // of the opening
	st.assign(8, true)
	join(t, a)
	coretest.Await(t, func() bool { return !r.Unverified() })
	join(t, a)
	is.Equal(st.count("append"), 2)
	is.Equal(st.count("newest"), 1)
	is.Equal(a.shard(groupShard), r)
}

// Guards against claiming runs for an owner that another one may have replaced.
func TestUnverifiedShardIsNotClaimed(t *testing.T) {
	is := is.New(t)
	st := &memberStore{}
	a := newMember(t, st)
	coretest.Await(t, a.owns(groupShard))
	st.setRejects(true)
	st.assign(7, true)
	join(t, a)
	is.Equal(len(a.LinkUp("b", 1).Claims), 0)
	st.setRejects(false)
	coretest.Await(t, func() bool { return !a.shard(groupShard).Unverified() })
	join(t, a)
	is.Equal(len(a.shard(groupShard).LinkUp("b", 1)), 0) // the join has claimed it
}

// Guards against serving a shard that was assigned to another agent while it was being opened here.
func TestShardReleasedWhileItIsOpenedIsNotServed(t *testing.T) {
	for name, release := range map[string]func(*testing.T, *Agent, *memberStore){
		"rebalance": func(t *testing.T, a *Agent, st *memberStore) {
			st.assign(6, false)
			join(t, a)
		},
		"drain": func(t *testing.T, a *Agent, _ *memberStore) {
			a.isMember.Store(true)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			a.Drain(ctx)
		},
	} {
		t.Run(name, func(t *testing.T) {
			st := &memberStore{reading: make(chan struct{})}
			a := newMember(t, st)
			release(t, a, st)
			close(st.reading)
			coretest.Await(t, func() bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				return a.opening[groupShard] == nil
			})
			if a.shard(groupShard) != nil {
				t.Error("the shard is served")
			}
		})
	}
}

// Guards against keeping a shard that another agent has held while it was being opened here.
func TestShardHeldElsewhereWhileItIsOpenedIsOpenedAnew(t *testing.T) {
	st := &memberStore{reading: make(chan struct{})}
	a := newMember(t, st)
	coretest.Await(t, func() bool { return st.count("newest") == 1 })
	st.assign(7, true)
	join(t, a)
	st.mu.Lock()
	reading := st.reading
	st.reading = nil
	st.epoch = 6 * epochsPerGeneration
	st.mu.Unlock()
	close(reading)
	coretest.Await(t, func() bool {
		join(t, a)
		r := a.shard(groupShard)
		return r != nil && r.Epoch >= 7*epochsPerGeneration
	})
}

// Guards against an owner that goes on although a probe of the store shows that it was replaced.
func TestProbeEndsAReplacedOwner(t *testing.T) {
	st := &memberStore{}
	a := newMember(t, st)
	coretest.Await(t, a.owns(groupShard))
	r := a.shard(groupShard)
	r.storeUnavailable.Store(true)
	st.holdElsewhere(t, 6)
	coretest.Await(t, r.Closed)
}
