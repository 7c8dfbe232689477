package entry

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/routing"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/peer"
)

// operatorRecords is the partition of the configuration and the drains in these tests.
var operatorRecords = store.Partition{Topic: "operators"}

// fakeSeed is an agent that answers entries which start without the store.
type fakeSeed struct {
	*fakeAgent
	mu     sync.Mutex
	answer func(context.Context) (*corepb.StoreSnapshot, error) // guarded by mu
}

func (s *fakeSeed) set(answer func(context.Context) (*corepb.StoreSnapshot, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// Snapshot implements peer.SnapshotSource.
func (s *fakeSeed) Snapshot(ctx context.Context, _ *corepb.SnapshotRequest) (*corepb.StoreSnapshot, error) {
	s.mu.Lock()
	answer := s.answer
	s.mu.Unlock()
	return answer(ctx)
}

// tells answers with a configuration at a position.
func tells(version, position int64, age time.Duration) func(context.Context) (*corepb.StoreSnapshot, error) {
	return func(context.Context) (*corepb.StoreSnapshot, error) {
		return &corepb.StoreSnapshot{Config: &corepb.StoredPartition{
			Position: position, AgeMs: age.Milliseconds(), Records: []*corepb.StoredRecord{{Key: "config", Value: fmt.Append(nil, version)}},
		}}, nil
	}
}

func hangs(ctx context.Context) (*corepb.StoreSnapshot, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func knowsNothing(context.Context) (*corepb.StoreSnapshot, error) {
	return nil, status.Error(codes.Unavailable, "nothing")
}

// startSeeds starts seeds that listen at the same port of different hosts, and returns the port.
func startSeeds(t *testing.T, answers ...func(context.Context) (*corepb.StoreSnapshot, error)) ([]*fakeSeed, string) {
	t.Helper()
	var out []*fakeSeed
	port := "0"
	for i, answer := range answers {
		l, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("127.0.0.%d", 1+i), port))
		if err != nil {
			t.Fatal(err)
		}
		_, port, _ = net.SplitHostPort(l.Addr().String())
		s := &fakeSeed{fakeAgent: &fakeAgent{}, answer: answer}
		server := peer.NewServer(s)
		go server.Serve(l) //nolint:errcheck // it returns when the server is stopped
		t.Cleanup(server.Stop)
		out = append(out, s)
	}
	return out, port
}

// switchedStore rejects all calls until it is switched on. It then has a configuration, and an
// empty registry.
type switchedStore struct {
	coretest.RejectingStore
	mu      sync.Mutex
	version int64 // guarded by mu; zero while the store rejects all calls
}

func (s *switchedStore) switchOn(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

func (s *switchedStore) Newest(_ context.Context, p store.Partition) ([]store.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.version == 0:
		return nil, 0, store.ErrRejected
	case p == operatorRecords:
		return []store.Record{{Key: "config", Value: fmt.Append(nil, s.version)}}, 100, nil
	default:
		return nil, 100, nil
	}
}

func (s *switchedStore) Follow(ctx context.Context, _ store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	select {
	case <-ctx.Done():
		return nil, from, ctx.Err()
	case <-time.After(wait):
		return nil, from, nil
	}
}

// decodeOperatorConfig decodes the configurations of these tests, whose value is their version.
func decodeOperatorConfig(r store.Record) (*routing.Table, error) {
	t := &routing.Table{}
	if r.Key != "config" {
		return nil, nil
	}
	_, err := fmt.Sscan(string(r.Value), &t.Version)
	return t, err
}

func decodeOperatorDrain(r store.Record) (drains.Change, bool, error) {
	domain, ok := strings.CutPrefix(r.Key, "drain/")
	return drains.Change{Domain: domain, Drained: r.Value != nil}, ok, nil
}

// startWithoutStore starts an entry with seeds at some hosts.
func startWithoutStore(t *testing.T, st store.Store, port string, bound time.Duration, hosts ...string) *Entry {
	t.Helper()
	s := coretest.Settings()
	s.Listen.Links, s.Bounds.ConfigApply = "127.0.0.1:"+port, bound
	for _, host := range hosts {
		s.Seeds = append(s.Seeds, host+":9") // the port is that of another listener
	}
	e := New(s, st, operatorRecords, decodeOperatorConfig, core.DrainSource{Partition: operatorRecords, Decode: decodeOperatorDrain})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := e.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return e
}

func version(e *Entry) int64 {
	if table := e.Table(); table != nil {
		return table.Version
	}
	return 0
}

// peerAnswers returns how many answers of peers had a result.
func peerAnswers(e *Entry, result string) int {
	families, err := e.metrics.Registry.Gather()
	if err != nil {
		return -1
	}
	for _, f := range families {
		if f.GetName() == core.Namespace+"_peer_answers_total" {
			return countOf(f, result)
		}
	}
	return 0
}

func countOf(f *dto.MetricFamily, label string) int {
	for _, m := range f.GetMetric() {
		if m.GetLabel()[0].GetValue() == label {
			return int(m.GetCounter().GetValue())
		}
	}
	return 0
}

// malformedSnapshots returns how many answers of peers were malformed, in all tests so far.
func malformedSnapshots(t *testing.T) int {
	r := prometheus.NewRegistry()
	r.MustRegister(metrics.MalformedCollector())
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	return countOf(families[0], metrics.KindSnapshot)
}

const longBound = time.Hour

// An entry starts without the store; one seed is down, one hangs. Guards against an entry that
// refuses all jobs until the store is back, although a peer has all that it needs.
func TestStartFromPeer(t *testing.T) {
	is := is.New(t)
	agent := startFakeAgent(t)
	_, port := startSeeds(t, hangs, func(context.Context) (*corepb.StoreSnapshot, error) {
		return &corepb.StoreSnapshot{
			Config: &corepb.StoredPartition{Position: 8, Records: []*corepb.StoredRecord{
				{Key: "config", Value: []byte("5")}, {Key: "drain/iksan", Value: []byte("{}")},
			}},
			Registry: &corepb.StoredPartition{Position: 3, Records: []*corepb.StoredRecord{
				{Key: "agent", Value: fmt.Appendf(nil, `{"links":%q,"zone":"jeonju"}`, agent.addr)},
				{Key: "broken", Value: []byte("{")},
			}},
		}, nil
	})
	e := startWithoutStore(t, coretest.RejectingStore{}, port, longBound, "127.0.0.9", "127.0.0.1", "127.0.0.2")
	coretest.Await(t, e.Ready)
	is.Equal(version(e), int64(5))
	is.Equal(e.Drains().Domains, []string{"iksan"})
	is.Equal(e.Drains().Position, int64(8))
	is.Equal(e.Domains(), map[string]int{"jeonju": 1})
}

// Two peers know different configurations, the older one is told again and again. Guards against an
// entry that goes back to an older configuration.
func TestOlderConfigurationOfPeerChangesNothing(t *testing.T) {
	is := is.New(t)
	seeds, port := startSeeds(t, tells(5, 50, 0), knowsNothing)
	e := startWithoutStore(t, coretest.RejectingStore{}, port, longBound, "127.0.0.1", "127.0.0.2")
	coretest.Await(t, func() bool { return version(e) == 5 })
	seeds[1].set(tells(4, 40, 0))
	coretest.Await(t, func() bool { return peerAnswers(e, "older") > 1 })
	is.Equal(version(e), int64(5))
	seeds[1].set(tells(4, 60, 0)) // further, but with an older version
	coretest.Await(t, func() bool { return peerAnswers(e, "applied") > 1 })
	is.Equal(version(e), int64(5))
}

// All peers have lost the store as well. Guards against a configuration that stays in force although
// the store has confirmed it to nobody for longer than the bound.
func TestConfigurationOfPeerLapses(t *testing.T) {
	is := is.New(t)
	seeds, port := startSeeds(t, tells(5, 50, 0))
	e := startWithoutStore(t, coretest.RejectingStore{}, port, time.Second, "127.0.0.1")
	coretest.Await(t, func() bool { return version(e) == 5 })
	seeds[0].set(tells(5, 50, 2*time.Second))
	coretest.Await(t, func() bool { return version(e) == 0 })
	is.True(!e.Ready())
	coretest.Await(t, func() bool { return peerAnswers(e, "expired") > 0 })
	is.Equal(e.copies.toWire(bootclock.Now(), time.Second, &corepb.SnapshotQuestion{Config: true}).GetConfig(), nil) // it isn't passed on either
	seeds[0].set(tells(5, 50, 0))
	coretest.Await(t, func() bool { return version(e) == 5 })
}

// Guards against answers that can't be true, are too large, or name records that the entry doesn't
// have: each is counted and changes nothing, and the entry keeps asking.
func TestMalformedAnswersOfPeer(t *testing.T) {
	is := is.New(t)
	for name, answer := range map[string]*corepb.StoredPartition{
		"no position":    {Records: []*corepb.StoredRecord{{Key: "config", Value: []byte("9")}}},
		"negative age":   {Position: 9, AgeMs: -1, Records: []*corepb.StoredRecord{{Key: "config", Value: []byte("9")}}},
		"unsorted keys":  {Position: 9, Records: []*corepb.StoredRecord{{Key: "config", Value: []byte("9")}, {Key: "a", Value: []byte("9")}}},
		"no value":       {Position: 9, Records: []*corepb.StoredRecord{{Key: "config"}}},
		"larger than 3M": {Position: 9, Records: []*corepb.StoredRecord{{Key: "config", Value: make([]byte, wire.MaxSnapshotBytes+1)}}},
	} {
		t.Log(name)
		before := malformedSnapshots(t)
		seeds, port := startSeeds(t, func(context.Context) (*corepb.StoreSnapshot, error) {
			return &corepb.StoreSnapshot{Config: answer}, nil
		})
		e := startWithoutStore(t, coretest.RejectingStore{}, port, longBound, "127.0.0.1")
		coretest.Await(t, func() bool { return malformedSnapshots(t) > before })
		is.Equal(version(e), int64(0))
		seeds[0].set(tells(5, 50, 0))
		coretest.Await(t, func() bool { return version(e) == 5 })
	}
}

// Guards against records left out by a peer for a position that the entry doesn't have.
func TestAnswerWithoutRecordsNeedsTheirPosition(t *testing.T) {
	is := is.New(t)
	seeds, port := startSeeds(t, func(context.Context) (*corepb.StoreSnapshot, error) {
		return &corepb.StoreSnapshot{Config: &corepb.StoredPartition{Position: 9, Unchanged: true}}, nil
	})
	e := startWithoutStore(t, coretest.RejectingStore{}, port, longBound, "127.0.0.1")
	coretest.Await(t, func() bool { return peerAnswers(e, "failed") > 1 })
	is.Equal(e.copies.config.Position(), int64(0))
	seeds[0].set(tells(5, 9, 0))
	coretest.Await(t, func() bool { return version(e) == 5 })
}

// The store comes back with a newer configuration and without an agent that the peer has named.
// Guards against a peer's word that outlives the store's, and against a configuration that still
// lapses although the store has confirmed it.
func TestStoreOverrulesPeer(t *testing.T) {
	is := is.New(t)
	agent := startFakeAgent(t)
	told := &corepb.StoredPartition{Position: 3, Records: []*corepb.StoredRecord{{Key: "agent", Value: fmt.Appendf(nil, `{"links":%q,"zone":"jeonju"}`, agent.addr)}}}
	_, port := startSeeds(t, func(context.Context) (*corepb.StoreSnapshot, error) {
		out, err := tells(5, 50, 0)(context.Background())
		out.Registry = told
		return out, err
	})
	st := &switchedStore{}
	e := startWithoutStore(t, st, port, time.Second, "127.0.0.1")
	coretest.Await(t, func() bool { return version(e) == 5 && len(e.Domains()) == 1 })
	st.switchOn(6)
	coretest.Await(t, func() bool { return version(e) == 6 && len(e.Domains()) == 0 })
	is.Equal(e.toldUntil.Get(), time.Duration(0))
	answer, err := tells(9, 200, 0)(context.Background())
	is.NoErr(err)
	is.NoErr(e.applyToldConfig(answer.GetConfig(), 0)) // one that was under way
	is.Equal(version(e), int64(6))
}

// The store comes back with the configuration that the peer has told. Guards against its lapse.
func TestStoreConfirmsConfigurationOfPeer(t *testing.T) {
	is := is.New(t)
	_, port := startSeeds(t, tells(5, 100, 0))
	st := &switchedStore{}
	e := startWithoutStore(t, st, port, longBound, "127.0.0.1")
	coretest.Await(t, func() bool { return version(e) == 5 })
	is.True(e.toldUntil.Get() > 0)
	st.switchOn(5)
	coretest.Await(t, func() bool { return e.toldUntil.Get() == 0 })
	is.Equal(version(e), int64(5))
}

// Guards against an entry without seeds, or one that the store has answered, that asks peers.
func TestNoPeerIsAskedWithoutNeed(t *testing.T) {
	is := is.New(t)
	s := coretest.Settings()
	e := New(s, coretest.RejectingStore{}, operatorRecords, decodeOperatorConfig, core.DrainSource{Partition: operatorRecords, Decode: decodeOperatorDrain})
	e.startFromPeers(context.Background()) // returns at once
	st := &switchedStore{}
	st.switchOn(3)
	_, port := startSeeds(t, tells(5, 50, 0))
	e = startWithoutStore(t, st, port, longBound, "127.0.0.1")
	coretest.Await(t, func() bool { return version(e) == 3 && e.storeHeard() })
	e.startFromPeers(context.Background())
	is.Equal(version(e), int64(3))
	is.Equal(peerAnswers(e, "applied"), 0)
}
