package agent

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
)

// groupStore is a store with one group, which distributes the partitions evenly, and counts its calls.
type groupStore struct {
	coretest.RejectingStore
	mu sync.Mutex
	// All fields below are guarded by mu.

	expiry     map[string]time.Time
	owners     map[store.Partition]string
	generation int64
	joins      map[string]int
	looks      int
	// uneven is set if the first member has two partitions while others have none.
	uneven bool
}

func newGroupStore(shards core.PartitionSeries) *groupStore {
	s := &groupStore{expiry: make(map[string]time.Time), owners: make(map[store.Partition]string), joins: make(map[string]int)}
	for i := range shards.Size() {
		s.owners[shards.Partition(i)] = ""
	}
	return s
}

func (s *groupStore) Append(context.Context, store.Partition, *store.Producer, []store.Record) (int64, error) {
	return 0, nil
}

func (s *groupStore) Newest(context.Context, store.Partition) ([]store.Record, int64, error) {
	return nil, 0, nil
}

func (s *groupStore) Follow(ctx context.Context, _ store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, from, ctx.Err()
}

func (s *groupStore) Join(_ context.Context, _, member string, _ []string, ttl time.Duration, _ int64) (store.Membership, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joins[member]++
	if _, known := s.expiry[member]; !known {
		s.generation++
	}
	s.expiry[member] = time.Now().Add(ttl)
	s.distributeLocked()
	m := store.Membership{Generation: s.generation}
	for p, owner := range s.owners {
		if owner == member {
			m.Partitions = append(m.Partitions, p)
		}
	}
	return m, nil
}

func (s *groupStore) Owners(context.Context, string) (map[store.Partition]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.looks++
	s.distributeLocked()
	out := maps.Clone(s.owners)
	maps.DeleteFunc(out, func(_ store.Partition, member string) bool { return member == "" })
	return out, nil
}

// distributeLocked removes expired members and gives each partition without an owner, or whose owner
// has more than its part, to the member that has the fewest.
func (s *groupStore) distributeLocked() {
	maps.DeleteFunc(s.expiry, func(_ string, at time.Time) bool { return time.Now().After(at) })
	if len(s.expiry) == 0 {
		clear(s.expiry)
		return
	}
	held := make(map[string]int)
	most := (len(s.owners) + len(s.expiry) - 1) / len(s.expiry)
	for p, owner := range s.owners {
		if _, alive := s.expiry[owner]; !alive || held[owner] == most {
			s.owners[p] = ""
			continue
		}
		held[owner]++
	}
	members := slices.Sorted(maps.Keys(s.expiry))
	for p, owner := range s.owners {
		if owner == "" {
			fewest := slices.MinFunc(members, func(a, b string) int { return cmp.Compare(held[a], held[b]) })
			s.owners[p] = fewest
			held[fewest]++
		}
	}
	if s.uneven {
		s.moveOneLocked()
	}
}

// moveOneLocked gives the owner of partition 0 a second partition.
func (s *groupStore) moveOneLocked() {
	first := store.Partition{Topic: "keyed.jobs0"}
	second := store.Partition{Topic: "keyed.jobs0", Number: 1}
	s.owners[second] = s.owners[first]
}

// fleetShards is the number of shards of a standbyFleet.
const fleetShards = 16

// standbyFleet runs the membership of many agents.
type standbyFleet struct {
	store  *groupStore
	agents map[string]*Agent
	cancel map[string]context.CancelFunc
	done   sync.WaitGroup
}

func startFleet(ctx context.Context, agents int) *standbyFleet {
	set := settings.Settings{
		Role: settings.RoleAgent, Store: settings.Store{Topics: 1, Partitions: fleetShards, WritesPerSecond: 1000},
		Owners: settings.Owners{StartSpread: 5 * time.Second},
	}
	f := &standbyFleet{store: newGroupStore(core.ShardSeries(&set)), agents: make(map[string]*Agent), cancel: make(map[string]context.CancelFunc)}
	for i := range agents {
		s := set
		s.Name = fmt.Sprintf("agent-%04d", i)
		a := New(&s, f.store, core.DrainSource{}, nil)
		a.links, _ = fakeLinks(a, a.fleet)
		ctx, cancel := context.WithCancel(ctx)
		f.agents[s.Name], f.cancel[s.Name] = a, cancel
		f.done.Go(func() {
			a.membershipLoop(ctx, "")
			a.release(nil)
		})
	}
	return f
}

func (f *standbyFleet) numOwners() int {
	owners, _ := f.store.Owners(context.Background(), core.OwnersGroup)
	return numOwners(owners, core.PartitionSeries{Prefix: "keyed.jobs", Topics: 1, PartitionsPerTopic: fleetShards})
}

func (f *standbyFleet) stop() {
	for _, cancel := range f.cancel {
		cancel()
	}
	f.done.Wait()
}

// callsPerAgent returns the calls of a fleet's membership in its second minute, per agent and
// weighted as the store counts them.
func callsPerAgent(t *testing.T, agents int, uneven bool) (calls float64) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t.Context(), agents)
		f.store.mu.Lock()
		f.store.uneven = uneven
		f.store.mu.Unlock()
		time.Sleep(time.Minute)
		before := f.calls()
		time.Sleep(time.Minute)
		calls = (f.calls() - before) / float64(agents)
		if n := f.numOwners(); n < enoughOwners(fleetShards) {
			t.Errorf("%d of %d agents own the %d shards", n, agents, fleetShards)
		}
		f.stop()
	})
	return calls
}

// calls returns the calls so far. A join counts as a tenth.
func (f *standbyFleet) calls() float64 {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	joins := 0
	for _, n := range f.store.joins {
		joins += n
	}
	return float64(joins)/10 + float64(f.store.looks)
}

// Every agent joined the owners' group four times a second for the sake of a few shards: with 800
// agents that alone was a twelfth of the writing calls that the store takes. With twice the agents,
// each must make fewer, also in a group that never gives each shard an owner of its own.
func TestMembershipCallsOfAnAgentDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, uneven := range []bool{false, true} {
		last := callsPerAgent(t, 50, uneven)
		for _, agents := range []int{100, 200, 400} {
			calls := callsPerAgent(t, agents, uneven)
			t.Logf("%d agents, uneven %v: %.1f calls a minute each", agents, uneven, calls)
			is.True(calls < last)
			last = calls
		}
	}
}

// All owners are lost at once, and with them whoever could have taken over within their group. The
// standbys must notice although each looks seldom, or jobs would be refused for lack of an owner.
func TestStandbysReplaceLostOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t.Context(), 200)
		time.Sleep(time.Minute)
		f.store.mu.Lock()
		members := slices.Collect(maps.Keys(f.store.expiry))
		f.store.mu.Unlock()
		is.True(len(members) >= fleetShards && len(members) < 100)
		for _, member := range members {
			name, _, _ := strings.Cut(member, "/")
			f.cancel[name]()
		}
		time.Sleep(3 * time.Second) // the memberships last 1.2 s
		is.True(f.numOwners() > 0)
		time.Sleep(standbyInterval)
		is.True(f.numOwners() >= enoughOwners(fleetShards))
		f.stop()
	})
}

// followedStore counts the readers that follow the registry, and keeps the last notes written.
type followedStore struct {
	groupStore
	following atomic.Int64
	last      atomic.Pointer[notes]
}

func (s *followedStore) Follow(ctx context.Context, _ store.Partition, from int64, _ time.Duration) ([]store.Record, int64, error) {
	s.following.Add(1)
	defer s.following.Add(-1)
	<-ctx.Done()
	return nil, from, ctx.Err()
}

func (s *followedStore) Append(_ context.Context, _ store.Partition, _ *store.Producer, records []store.Record) (int64, error) {
	var n notes
	if err := json.Unmarshal(records[0].Value, &n); err != nil {
		return 0, err
	}
	s.last.Store(&n)
	return 0, nil
}

// An agent owned a shard for a moment while the fleet started. Guards against following the registry
// from then on: each of its records would be read by every agent that ever had a shard.
func TestRegistryIsFollowedOnlyWhileShardsAreOwned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := &followedStore{}
		a := New(coretest.Settings(), st, core.DrainSource{}, nil)
		a.links, _ = fakeLinks(a, a.fleet)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.followRegistry(ctx)
		}()
		synctest.Wait()
		is.Equal(st.following.Load(), int64(0))
		for range 2 {
			a.signalShard()
			synctest.Wait()
			is.Equal(st.following.Load(), int64(1))
			a.manageLinks(a.ownedAt + idleLinkTimeout + 1)
			time.Sleep(time.Second) // the maintenance of the links ends with its next step
			is.Equal(st.following.Load(), int64(0))
		}
		cancel()
		<-done
	})
}

// An agent that was no member of the owners' group restarts. Guards against taking it for a former
// member, which joins at once: after a restart of the fleet all agents would join.
func TestNotesNameOnlyMembers(t *testing.T) {
	is := is.New(t)
	st := &followedStore{}
	a := New(coretest.Settings(), st, core.DrainSource{}, nil)
	a.writeNotes(t.Context())
	is.Equal(st.last.Load().Member, "")
	a.isMember.Store(true)
	a.writeNotes(t.Context())
	is.Equal(st.last.Load().Member, a.member)
}
