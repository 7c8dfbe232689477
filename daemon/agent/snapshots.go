package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/snapshot"
	"github.com/shallotstep/shallotstep/daemon/core"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
)

const (
	// snapshotReadTimeout bounds the read in the store for an entry that starts. Its clients give
	// up after a second or two, and another agent may answer meanwhile.
	snapshotReadTimeout = 700 * time.Millisecond
	// snapshotLinksDelay is how long the store may take before the linked entries are asked as
	// well. It answers within 20 ms, and within 100 ms while it is slow.
	snapshotLinksDelay = 150 * time.Millisecond
	// snapshotKeepTime is how long an answer, or a failure, serves later questions: all entries of
	// a failure domain ask at once. The age of an answer counts on meanwhile.
	snapshotKeepTime = 250 * time.Millisecond
)

var (
	errNoSnapshot = errors.New("neither the store nor a linked entry has answered")
	errBusy       = errors.New("too many entries ask for snapshots at once")
)

// snapshots answers entries that start without the store. It keeps answers for snapshotKeepTime
// only: an agent follows no configuration.
type snapshots struct {
	pacer snapshot.Pacer
	mu    sync.Mutex
	// All fields below are guarded by mu.

	// parts has a question for each partition that is under way or was answered lately.
	parts map[store.Partition]*question
	// lastNumber is the number of the last question to linked entries.
	lastNumber int64
	// told gets the answers of linked entries that answer a question.
	told map[chan *corepb.StoreSnapshot]*corepb.SnapshotQuestion
}

// question is a question that several askers share. state and err are set once done is closed.
type question struct {
	done  chan struct{}
	state snapshot.State
	// at is when state had its age.
	at  time.Duration
	err error
}

func newSnapshots() *snapshots {
	return &snapshots{parts: make(map[store.Partition]*question), told: make(map[chan *corepb.StoreSnapshot]*corepb.SnapshotQuestion)}
}

// Snapshot implements peer.SnapshotSource.
func (a *Agent) Snapshot(ctx context.Context, p *corepb.SnapshotRequest) (*corepb.StoreSnapshot, error) {
	out := &corepb.StoreSnapshot{}
	registry := make(chan *corepb.StoredPartition, 1)
	go func() {
		if !p.GetRegistry() {
			registry <- nil
			return
		}
		registry <- a.snapshotPart(ctx, core.RegistryPartition, 0)
	}()
	out.Config = a.snapshotPart(ctx, a.drains.Partition(), p.GetConfigPosition())
	out.Registry = <-registry
	if out.Config == nil && out.Registry == nil {
		return nil, status.Error(codes.Unavailable, errNoSnapshot.Error())
	}
	if wire.BoundSnapshot(out, wire.MaxSnapshotBytes) {
		klog.InfoS("A snapshot of the store is too large to pass on", "registry", out.Registry != nil, "configuration", out.Config != nil)
	}
	if !a.snapshots.pacer.Admit(bootclock.Now(), proto.Size(out)) {
		return nil, status.Error(codes.Unavailable, errBusy.Error())
	}
	return out, nil
}

// snapshotPart returns a partition, or nil if nobody knows it. The records are left out if the
// asker has the position known.
func (a *Agent) snapshotPart(ctx context.Context, p store.Partition, known int64) *corepb.StoredPartition {
	q := a.snapshots.ask(p, func() (snapshot.State, error) { return a.findState(p) })
	select {
	case <-q.done:
	case <-ctx.Done():
		return nil
	}
	if q.err != nil {
		return nil
	}
	s := q.state
	s.Age += bootclock.Now() - q.at
	if s.Position != known {
		return wire.StateToWire(&s)
	}
	s.Records = nil
	out := wire.StateToWire(&s)
	out.Unchanged = true
	return out
}

// ask returns the question for a partition that is under way or was answered lately, or begins one.
func (s *snapshots) ask(p store.Partition, find func() (snapshot.State, error)) *question {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.parts[p]; q != nil {
		return q
	}
	q := &question{done: make(chan struct{})}
	s.parts[p] = q
	go func() {
		q.state, q.err = find()
		q.at = bootclock.Now()
		close(q.done)
		time.AfterFunc(snapshotKeepTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.parts, p)
		})
	}()
	return q
}

// findState reads a partition in the store, and asks the linked entries if the store does not
// answer soon.
func (a *Agent) findState(p store.Partition) (snapshot.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotReadTimeout)
	defer cancel()
	read, told := make(chan *snapshot.State, 1), make(chan *snapshot.State, 1)
	go func() { read <- a.readState(ctx, p) }()
	var s *snapshot.State
	select {
	case s = <-read:
		read = nil
	case <-time.After(snapshotLinksDelay):
	}
	if s == nil {
		go func() { told <- a.askLinkedEntries(ctx, p) }()
	}
	for s == nil && (read != nil || told != nil) {
		select {
		case s = <-read:
			read = nil
		case s = <-told:
			told = nil
		}
	}
	if s == nil {
		return snapshot.State{}, errNoSnapshot
	}
	return *s, nil
}

// readState reads a partition in the store. It returns nil if that fails, or if nothing was ever
// written to the partition.
func (a *Agent) readState(ctx context.Context, p store.Partition) *snapshot.State {
	began := bootclock.Now()
	records, position, err := a.store.Newest(ctx, p)
	if err != nil {
		klog.InfoS("Could not read the store for an entry that starts", "topic", p.Topic, "err", err)
		return nil
	}
	var c snapshot.Copy
	c.Replace(began, records, position)
	s, ok := c.State(bootclock.Now())
	if !ok {
		return nil
	}
	return &s
}
