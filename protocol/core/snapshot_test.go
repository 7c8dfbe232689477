package core

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/shallotstep/shallotstep/coordination/snapshot"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
)

// Guards against an age that gets younger on its way, so that a configuration would hold for longer
// with each process that passes it on.
func TestAgeOfSnapshotGrowsOnItsWay(t *testing.T) {
	is := is.New(t)
	in := snapshot.State{Position: 7, Age: 1500 * time.Microsecond, Records: []store.Record{{Key: "a", Value: []byte("1")}}}
	out := StateFromWire(StateToWire(&in), 30*time.Millisecond)
	is.Equal(out, snapshot.State{Position: 7, Age: 32 * time.Millisecond, Records: in.Records})
}

// Guards against an age that overflows when the transit is added, or a negative one that the transit
// makes look true.
func TestImpossibleAgesOfSnapshots(t *testing.T) {
	is := is.New(t)
	late := StateFromWire(&corepb.StoredPartition{Position: 1, AgeMs: 1<<63 - 1}, time.Second)
	is.True(late.Age >= 24*time.Hour)
	negative := StateFromWire(&corepb.StoredPartition{Position: 1, AgeMs: -1}, time.Second)
	is.True(negative.Check() != nil)
}

// Guards against a frame that is too large for a link, which gRPC would end.
func TestLargeSnapshotIsCut(t *testing.T) {
	is := is.New(t)
	part := func(n int) *corepb.StoredPartition {
		return &corepb.StoredPartition{Position: 1, Records: []*corepb.StoredRecord{{Key: "a", Value: make([]byte, n)}}}
	}
	small := &corepb.StoreSnapshot{Config: part(1000), Registry: part(1000)}
	is.True(!BoundSnapshot(small, MaxSnapshotBytes))
	large := &corepb.StoreSnapshot{Config: part(1000), Registry: part(MaxSnapshotBytes)}
	is.True(BoundSnapshot(large, MaxSnapshotBytes))
	is.True(large.Config != nil && large.Registry == nil)
	larger := &corepb.StoreSnapshot{Config: part(MaxSnapshotBytes), Registry: part(1000)}
	is.True(BoundSnapshot(larger, MaxSnapshotBytes))
	is.True(larger.Config == nil)
}

// FuzzStateFromWire guards against bytes of a peer that make the decoder panic, or that are taken
// although no partition can have that state.
func FuzzStateFromWire(f *testing.F) {
	for _, p := range []*corepb.StoredPartition{
		{}, {Position: -1}, {Position: 1, AgeMs: -1}, {Position: 1, Records: []*corepb.StoredRecord{{}}},
		{Position: 1, Records: []*corepb.StoredRecord{{Key: "b", Value: []byte("1")}, {Key: "a", Value: []byte("1")}}},
		{Position: 1, AgeMs: 5, Records: []*corepb.StoredRecord{{Key: "config", Value: []byte("1")}}},
	} {
		b, err := proto.Marshal(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p := &corepb.StoredPartition{}
		if proto.Unmarshal(b, p) != nil {
			return
		}
		s := StateFromWire(p, time.Second)
		var c snapshot.Copy
		decision := c.Offer(time.Hour, &s, time.Minute)
		if decision == snapshot.Applied && (s.Position <= 0 || s.Age < time.Second || s.Age >= time.Minute) {
			t.Errorf("applied position %d, age %v", s.Position, s.Age)
		}
		if decision == snapshot.Malformed && c.ConfirmedWithin(time.Hour, time.Minute) {
			t.Error("a malformed state is in force")
		}
	})
}
