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
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// notesTopics spreads the agents' notes. A partition takes one append at a time, in 4 ms
// usually and in 300 where the store is slow; when a hundred agents come back at once each
// writes one before it can serve. With one partition for all they were served again 2.7 s
// after their return.
const notesTopics = 4

// notesPartition has what an agent writes down for its next life. Nobody else reads it: in
// the registry, which all entries follow, each note would be read by each of them. A read
// returns all of a partition, so the agents are spread over those of the topics.
func (a *Agent) notesPartition() store.Partition {
	h := fnv.New32a()
	h.Write([]byte(a.settings.Name)) //nolint:errcheck // it never fails
	notes := core.Series{Prefix: "keyed.notes", Topics: notesTopics, Parts: a.settings.Store.Partitions}
	return notes.Partition(int(h.Sum32() % uint32(notes.Size())))
}

// notesWait is how long an agent that has its number waits for its notes: a few times
// what a read takes. Without them runs of earlier lives wait for their owners as long as
// an agent without notes has them wait, and the backend server is known with its next
// report only.
const notesTimeout = 100 * time.Millisecond

// notes are an agent's, under its name as key.
type notes struct {
	// Owners are those whose orders the agent has taken; see worker.Former.
	Owners []string `json:"owners"`
	// Member is the agent's last name in the group that shares out the shards.
	Member string `json:"member,omitempty"`
	// Server is the backend server that the agent saw last. The agent's next life goes
	// on with it at once, if the same instance answers, instead of waiting for its next
	// report.
	Server *storedServer `json:"server,omitempty"`
	// Registered is what the registry has of the agent.
	Registered *core.Registration `json:"registered,omitempty"`
}

// knownServer is what an agent remembers of its backend server.
type storedServer struct {
	Instance string     `json:"instance"`
	Service  string     `json:"service"`
	Labels   []string   `json:"labels"`
	Capacity job.Demand `json:"capacity"`
	Draining bool       `json:"draining"`
	// Varies is set once the instance has changed its capacity.
	Varies bool `json:"varies,omitempty"`
}

// usable reports whether a remembered backend server has all that is needed of one. One
// whose capacity varies has not: it may have shrunk since it was written down, and what
// this life started by it would not fit. Its next report is waited for.
func (s *storedServer) usable() bool {
	return s != nil && !s.Varies && s.Instance != "" && s.Service != "" && s.Capacity.CPUMillis > 0
}

// lifeKey is the key of the record that begins a life: its offset numbers the life. It is
// no part of the notes, which are read while it is written.
func incarnationKey(name string) string { return incarnationPrefix + name }

const incarnationPrefix = "\x00life/"

// markKey is the key of an agent's mark: an owner of recorded jobs may have claimed
// there. It is a record of its own, which is never taken back; notes that were on their
// way would otherwise overwrite it.
func markerKey(name string) string { return markerPrefix + name }

// markPrefix begins with a byte that no agent's name has.
const markerPrefix = "\x00recorded/"

// earlier is what an agent's earlier lives have written down.
type storedState struct {
	notes
	// noted is set where there were notes, and recorded where there was the mark.
	hasNotes, hasMarker bool
}

// effortOnly reports whether all runs of the earlier lives are of best-effort jobs.
func (e *storedState) bestEffortOnly() bool { return e.hasNotes && !e.hasMarker }

// readNotes returns what an agent's earlier lives have written down.
func (a *Agent) readNotes(ctx context.Context) (storedState, error) {
	ctx, cancel := context.WithTimeout(ctx, core.StoreTimeout)
	defer cancel()
	name := a.settings.Name
	records, _, err := a.store.Newest(ctx, a.notesPartition())
	if err != nil {
		return storedState{}, errors.Wrap(err, "notes")
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
				klog.ErrorS(err, "The notes of an earlier life are malformed")
				continue
			}
			out.notes, out.hasNotes = n, true
		}
	}
	return out, nil
}

// writeNotes writes down what the next life is to know.
func (a *Agent) writeNotes(ctx context.Context) {
	n := notes{Owners: a.recentPlacers.owners(), Member: a.member, Registered: a.registered.Load()}
	if s, ok := a.worker.Server(); ok {
		n.Server = newStoredServer(s, a.worker.Varies())
	}
	b, err := json.Marshal(&n)
	if err != nil {
		klog.ErrorS(err, "Notes can't be encoded")
		return
	}
	if _, err := a.appendNote(ctx, a.settings.Name, b); err != nil {
		klog.InfoS("The notes for the next life could not be written; it waits longer", "err", err)
		a.recentPlacers.markDirty()
	}
}

// note writes a record for the next life and returns its offset.
func (a *Agent) appendNote(ctx context.Context, key string, value []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, core.StoreTimeout)
	defer cancel()
	return a.store.Append(ctx, a.notesPartition(), nil, []store.Record{{Key: key, Value: value}})
}

// mark writes down that owners of recorded jobs claim here, and returns once it is.
// Without it the next life would take runs of recorded jobs for best-effort ones, and
// acknowledge ends that nobody has recorded.
func (a *Agent) storeMarker() {
	a.markerMu.Lock()
	defer a.markerMu.Unlock()
	if a.markerStored.Load() {
		return
	}
	ctx := context.Background()
	core.UntilDone(ctx, "That recorded jobs may run here could not be written down; their owner waits", func() error {
		_, err := a.appendNote(ctx, markerKey(a.settings.Name), []byte(a.member))
		return err
	})
	a.markerStored.Store(true)
}
