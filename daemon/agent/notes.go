package agent

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// notesTopics is the number of topics that hold the agents' notes. A partition takes one append
// at a time, usually in 4 ms, and in 300 ms if the store is slow. Each agent appends a record
// before it serves, so when a hundred agents came back at once and shared one partition, they
// served again only after 2.7 s.
const notesTopics = 4

// notesPartition returns the partition with the agent's notes for its next incarnation. The notes
// are kept apart from the registry because all entries follow the registry and would read every
// note. A read returns a whole partition, so the agents are spread by the hash of their names
// over the partitions of all topics.
func (a *Agent) notesPartition() store.Partition {
	h := fnv.New32a()
	h.Write([]byte(a.settings.Name)) //nolint:errcheck // it never fails
	notes := core.PartitionSeries{Prefix: "keyed.notes", Topics: notesTopics, PartitionsPerTopic: a.settings.Store.Partitions}
	return notes.Partition(int(h.Sum32() % uint32(notes.Size())))
}

// notesTimeout is how long an agent that has its incarnation number waits for its notes. It is a
// few times the duration of a read. Without the notes, runs of earlier incarnations wait for
// their owners as they do at an agent that has none, and the backend server is known only after
// its next report.
const notesTimeout = 100 * time.Millisecond

// notes is what an agent stores for its next incarnation, with its name as the key.
type notes struct {
	// Owners are the owners whose orders the agent has received; see Worker.SetFormerOwners in
	// coordination/worker.
	Owners []string `json:"owners"`
	// Member is the name of the incarnation in the owners' group; empty if it was no member.
	Member string `json:"member,omitempty"`
	// Server is the last known backend server. If the same instance answers, the next
	// incarnation continues with it at once instead of waiting for its next report.
	Server *storedServer `json:"server,omitempty"`
	// Registered is the agent's registration in the registry.
	Registered *core.Registration `json:"registered,omitempty"`
}

// storedServer is what an agent stores about its backend server.
type storedServer struct {
	ID string `json:"instance"`
	// StartedMS is the start time of the instance; zero if it is unknown.
	StartedMS int64      `json:"started_ms,omitempty"`
	Service   string     `json:"service"`
	Labels    []string   `json:"labels"`
	Capacity  job.Demand `json:"capacity"`
	Draining  bool       `json:"draining"`
	// CapacityChanged is set once the instance has changed its capacity.
	CapacityChanged bool `json:"varies,omitempty"`
	// Speed is the speed of the instance, which rests on SpeedRuns runs; zero if it is unknown.
	Speed     float64 `json:"speed,omitempty"`
	SpeedRuns int     `json:"speed_runs,omitempty"`
}

func (s *storedServer) instance() job.Instance {
	return job.Instance{ID: s.ID, StartedMS: s.StartedMS}
}

// usable reports whether an agent can continue with a stored backend server before its next
// report. A server that has changed its capacity is not usable: the capacity may have shrunk
// again since it was stored, and runs started according to it would not fit.
func (s *storedServer) usable() bool {
	return s != nil && !s.CapacityChanged && s.ID != "" && s.Service != "" && s.Capacity.CPUMillis > 0 && s.Capacity.InRange()
}

// incarnationKey returns the key of the record whose offset numbers an incarnation. The record is
// separate from the notes because they are read while it is written.
func incarnationKey(name string) string { return incarnationPrefix + name }

const incarnationPrefix = "\x00life/"

// markerKey returns the key of the marker that an owner of recorded jobs may have claimed a shard
// at the agent. The marker is never removed. It is separate from the notes because notes that are
// still in transit would overwrite it.
func markerKey(name string) string { return markerPrefix + name }

// markerPrefix begins with a byte that no agent's name contains.
const markerPrefix = "\x00recorded/"

// storedState is what the earlier incarnations of an agent have stored.
type storedState struct {
	notes
	// hasNotes is set if there are notes, and hasMarker if there is the marker for recorded
	// jobs.
	hasNotes, hasMarker bool
}

// bestEffortOnly reports whether all runs of the earlier incarnations belong to best-effort jobs.
func (s *storedState) bestEffortOnly() bool { return s.hasNotes && !s.hasMarker }

// readNotes reads what the earlier incarnations of the agent have stored. Malformed notes are
// ignored.
func (a *Agent) readNotes(ctx context.Context) (storedState, error) {
	ctx, cancel := context.WithTimeout(ctx, core.StoreTimeout)
	defer cancel()
	name := a.settings.Name
	records, _, err := a.store.Newest(ctx, a.notesPartition())
	if err != nil {
		return storedState{}, errors.Wrap(err, "read notes")
	}
	var out storedState
	for _, r := range records {
		switch {
		case r.Key == markerKey(name):
			out.hasMarker = true
		case r.Key == name && r.Value != nil:
			var n notes
			if err := json.Unmarshal(r.Value, &n); err != nil {
				metrics.Malformed(metrics.KindNotes)
				klog.ErrorS(err, "Ignoring malformed notes of an earlier incarnation")
				continue
			}
			out.notes, out.hasNotes = n, true
		}
	}
	return out, nil
}

// writeNotes writes the notes for the next incarnation.
func (a *Agent) writeNotes(ctx context.Context) {
	n := notes{Owners: a.recentPlacers.owners(), Registered: a.registered.Load()}
	if a.isMember.Load() {
		n.Member = a.member
	}
	if s, ok := a.worker.Server(); ok {
		n.Server = newStoredServer(s, a.worker.CapacityChanged(), a.worker.Speed(bootclock.Now()))
	}
	b, err := json.Marshal(&n)
	if err != nil {
		klog.ErrorS(err, "Can't encode the notes")
		return
	}
	if _, err := a.appendNote(ctx, a.settings.Name, b); err != nil {
		klog.InfoS("Could not write the notes for the next incarnation; will retry", "err", err)
		a.recentPlacers.markDirty()
	}
}

// appendNote appends a record to the notes partition and returns its offset.
func (a *Agent) appendNote(ctx context.Context, key string, value []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, core.StoreTimeout)
	defer cancel()
	return a.store.Append(ctx, a.notesPartition(), nil, []store.Record{{Key: key, Value: value}})
}

// storeMarker stores the marker that owners of recorded jobs claim shards here, and returns once
// it is stored. Without it the next incarnation would take runs of recorded jobs for best-effort
// ones, and acknowledge ends that no owner has recorded.
func (a *Agent) storeMarker() {
	a.markerMu.Lock()
	defer a.markerMu.Unlock()
	if a.markerStored.Load() {
		return
	}
	ctx := context.Background()
	core.Retry(ctx, "Could not store the marker for recorded jobs yet; the owner's claim has to wait", func() error {
		_, err := a.appendNote(ctx, markerKey(a.settings.Name), []byte(a.member))
		return err
	})
	a.markerStored.Store(true)
}
