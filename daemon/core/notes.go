package core

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// notesPartition has what an agent writes down for its next life. Nobody else reads it:
// in the registry, which everybody follows, each note of 70 agents was read 83 times. A
// read returns all of a partition, so the agents are spread over those of the topic.
func (a *Agent) notesPartition() store.Partition {
	h := fnv.New32a()
	h.Write([]byte(a.settings.Name)) //nolint:errcheck // it never fails
	return store.Partition{Topic: "keyed.notes", Part: int(h.Sum32() % uint32(max(1, a.settings.Store.Partitions)))}
}

// notesWait is how long an agent that has registered waits for its notes: a few times
// what a read takes. A slow store takes seconds for the notes of many agents that start
// at once, and nobody would be served meanwhile. Without them runs of earlier lives wait
// for their owners as long as an agent without notes has them wait.
const notesWait = 100 * time.Millisecond

// notes are an agent's, under its name as key.
type notes struct {
	// Owners are those whose orders the agent has taken; see worker.Former.
	Owners []string `json:"owners"`
}

// markKey is the key of an agent's mark: an owner of recorded jobs may have claimed
// there. It is a record of its own, which is never taken back; notes that were on their
// way would otherwise overwrite it.
func markKey(name string) string { return markPrefix + name }

// markPrefix begins with a byte that no agent's name has.
const markPrefix = "\x00recorded/"

// earlier is what an agent's earlier lives have written down.
type earlier struct {
	owners []string
	// noted is set where there were notes, and recorded where there was the mark.
	noted, recorded bool
}

// effortOnly reports whether all runs of the earlier lives are of best-effort jobs.
func (e *earlier) effortOnly() bool { return e.noted && !e.recorded }

// readNotes returns what an agent's earlier lives have written down.
func (a *Agent) readNotes(ctx context.Context) (earlier, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	name := a.settings.Name
	records, _, err := a.store.Newest(ctx, a.notesPartition())
	if err != nil {
		return earlier{}, errors.Wrap(err, "notes")
	}
	var out earlier
	for _, r := range records {
		switch {
		case r.Key == markKey(name):
			out.recorded = true
		case r.Key == name && r.Value != nil:
			var n notes
			if err := json.Unmarshal(r.Value, &n); err != nil {
				metrics.Malformed(metrics.KindNotes)
				klog.ErrorS(err, "The notes of an earlier life are malformed")
				continue
			}
			out.owners, out.noted = n.Owners, true
		}
	}
	return out, nil
}

// writeNotes writes down whose orders this agent has taken.
func (a *Agent) writeNotes(ctx context.Context) {
	b, err := json.Marshal(notes{Owners: a.placed.owners()})
	if err != nil {
		klog.ErrorS(err, "Notes can't be encoded")
		return
	}
	if err := a.note(ctx, a.settings.Name, b); err != nil {
		klog.InfoS("Who places work here could not be written down; the next life waits longer", "err", err)
		a.placed.again()
	}
}

func (a *Agent) note(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := a.store.Append(ctx, a.notesPartition(), nil, []store.Record{{Key: key, Value: value}})
	return err
}

// mark writes down that owners of recorded jobs claim here, and returns once it is.
// Without it the next life would take runs of recorded jobs for best-effort ones, and
// acknowledge ends that nobody has recorded.
func (a *Agent) mark() {
	a.marking.Lock()
	defer a.marking.Unlock()
	for !a.marked.Load() {
		err := a.note(context.Background(), markKey(a.settings.Name), []byte(a.member))
		if err == nil {
			a.marked.Store(true)
			return
		}
		klog.InfoS("That recorded jobs may run here could not be written down; their owner waits", "err", err)
		_ = pause.For(context.Background(), retryPause)
	}
}
