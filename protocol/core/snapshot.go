package core

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shallotstep/shallotstep/coordination/snapshot"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
)

// MaxSnapshotBytes bounds a snapshot of the store's partitions on the wire. A configuration of
// 1,400 routes and a registry of 1,000 agents have 0.7 MB together. It stays below the 4 MB beyond
// which gRPC ends the stream of a link.
const MaxSnapshotBytes = 3 << 20

// MaxFrameSnapshotBytes bounds a snapshot in a frame of a link. It holds up the link's heartbeats,
// by 0.45 s at 20 Mbit/s, and a link without one for 0.7 s is closed.
const MaxFrameSnapshotBytes = 1 << 20

// StateToWire returns the wire form of a state of a partition. The age is rounded up, so that it
// never becomes younger on its way.
func StateToWire(s *snapshot.State) *corepb.StoredPartition {
	out := &corepb.StoredPartition{Position: s.Position, AgeMs: (s.Age + time.Millisecond - 1).Milliseconds()}
	for _, r := range s.Records {
		out.Records = append(out.Records, &corepb.StoredRecord{Key: r.Key, Value: r.Value})
	}
	return out
}

// maxAgeMillis bounds an age in a message, so that it can't overflow when transit is added.
const maxAgeMillis = int64(24 * time.Hour / time.Millisecond)

// StateFromWire is the inverse of StateToWire. transit is the longest time that the message may
// have been under way, which is added to the age.
func StateFromWire(p *corepb.StoredPartition, transit time.Duration) snapshot.State {
	out := snapshot.State{Position: p.GetPosition(), Age: -1}
	if ms := p.GetAgeMs(); ms >= 0 {
		out.Age = time.Duration(min(ms, maxAgeMillis))*time.Millisecond + transit
	}
	for _, r := range p.GetRecords() {
		out.Records = append(out.Records, store.Record{Key: r.GetKey(), Value: r.GetValue()})
	}
	return out
}

// BoundSnapshot leaves out the registry, and then the configuration, of a snapshot that is larger
// than a limit. It reports whether it left out anything.
func BoundSnapshot(p *corepb.StoreSnapshot, limit int) bool {
	if proto.Size(p) <= limit {
		return false
	}
	p.Registry = nil
	if proto.Size(p) > limit {
		p.Config = nil
	}
	return true
}
