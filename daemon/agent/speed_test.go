package agent

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
)

// notesStore keeps the records that agents append.
type notesStore struct {
	coretest.RejectingStore
	mu      sync.Mutex
	records []store.Record // guarded by mu
}

func (s *notesStore) Append(_ context.Context, _ store.Partition, _ *store.Producer, records []store.Record) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, records...)
	return int64(len(s.records)), nil
}

func (s *notesStore) Newest(context.Context, store.Partition) ([]store.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records, int64(len(s.records)), nil
}

// speedAgent returns an agent that learns speeds, beside a backend server that answers.
func speedAgent(st store.Store, instance job.Instance) *Agent {
	s := coretest.Settings()
	s.Scheduling.ServerSpeeds = true
	a := New(s, st, core.DrainSource{}, nil)
	a.backend = &listingServer{instance: instance}
	return a
}

// nextIncarnation returns an agent that has read the notes of the earlier incarnations.
func nextIncarnation(t *testing.T, st store.Store, instance job.Instance) *Agent {
	t.Helper()
	a := speedAgent(st, instance)
	stored, err := a.readNotes(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	a.resume(t.Context(), stored.Server)
	return a
}

var testInstance = job.Instance{ID: "i", StartedMS: 1000}

func reportOf(instance job.Instance) worker.Server {
	return worker.Server{Instance: instance, Service: "desk", Capacity: job.Demand{CPUMillis: 1000}, Seq: 1}
}

// Guards against a speed that is lost with the agent's process, so that every restart of the agents
// makes all servers look alike for some seconds.
func TestNextIncarnationTakesOverTheSpeed(t *testing.T) {
	is := is.New(t)
	st := &notesStore{}
	a := speedAgent(st, testInstance)
	a.worker.Report(bootclock.Now(), reportOf(testInstance), 1)
	is.True(a.worker.RestoreSpeed(bootclock.Now(), worker.Speed{Instance: testInstance, Speed: 1.5, Runs: 90}))
	a.writeNotes(t.Context())

	v := nextIncarnation(t, st, testInstance).serverSpeed()
	is.True(v.Speed > 1.49 && v.Speed < 1.51)
	is.True(v.Runs > 0 && v.Runs < 45) // counted as fewer runs

	restarted := job.Instance{ID: "i", StartedMS: 5000}
	b := nextIncarnation(t, st, restarted)
	b.worker.Report(bootclock.Now(), reportOf(restarted), 1)
	is.Equal(b.serverSpeed(), worker.Speed{Instance: restarted})
}

// Guards against notes of an earlier version, and those of another writer, that keep an agent from
// resuming its backend server.
func TestNotesWithoutAUsableSpeedAreLoaded(t *testing.T) {
	const server = `"instance":"i","started_ms":1000,"service":"desk","labels":null,"capacity":{"CPUMillis":1000,"MemoryMB":1},"draining":false`
	for name, note := range map[string]string{
		"earlier version": `{"owners":[],"server":{` + server + `}}`,
		"negative":        `{"owners":[],"server":{` + server + `,"speed":-2,"speed_runs":50}}`,
		"too high":        `{"owners":[],"server":{` + server + `,"speed":1e300,"speed_runs":50}}`,
		"negative runs":   `{"owners":[],"server":{` + server + `,"speed":2,"speed_runs":-50}}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st := &notesStore{records: []store.Record{{Key: coretest.Settings().Name, Value: []byte(note)}}}
			a := nextIncarnation(t, st, testInstance)
			s, ok := a.worker.Server()
			is.True(ok)
			is.Equal(s.Instance, testInstance)
			is.Equal(a.serverSpeed().Runs, 0)
		})
	}
}

// Guards against notes that carry the field although speeds are off, which an earlier version of the
// agent need not know.
func TestNotesHaveNoSpeedWhileItIsUnknown(t *testing.T) {
	is := is.New(t)
	st := &notesStore{}
	a := speedAgent(st, testInstance)
	a.worker.Report(bootclock.Now(), reportOf(testInstance), 1)
	a.writeNotes(t.Context())
	is.True(!strings.Contains(string(st.records[0].Value), "speed"))
}

// Guards against a write to the store, or a log line, with each run that ends.
func TestSpeedIsWrittenOnceAndLoggedSeldom(t *testing.T) {
	is := is.New(t)
	var s speedWatch
	now := time.Hour
	v := worker.Speed{Instance: testInstance}
	log, write := s.due(now, v)
	is.True(!log && !write) // not known yet
	v.Speed, v.Runs = 1.5, 24
	log, write = s.due(now, v)
	is.True(log && write)
	for range 100 {
		now += 100 * time.Millisecond
		v.Runs++
		log, write = s.due(now, v)
		is.True(!log && !write)
	}
	v.Speed = 1.2
	log, write = s.due(now, v)
	is.True(log && !write)
	v.Speed = 1.6
	log, _ = s.due(now+speedLogInterval/2, v)
	is.True(!log)
	log, _ = s.due(now+speedLogInterval, v)
	is.True(log)
	v.Instance.StartedMS = 9000
	_, write = s.due(now+speedLogInterval, v)
	is.True(write)
}

// Guards against a next incarnation that writes again what it has just read.
func TestRestoredSpeedIsNotWrittenAgain(t *testing.T) {
	is := is.New(t)
	st := &notesStore{}
	a := speedAgent(st, testInstance)
	a.worker.Report(bootclock.Now(), reportOf(testInstance), 1)
	a.worker.RestoreSpeed(bootclock.Now(), worker.Speed{Instance: testInstance, Speed: 1.5, Runs: 90})
	a.writeNotes(t.Context())
	b := nextIncarnation(t, st, testInstance)
	b.checkSpeed(bootclock.Now())
	is.True(!b.recentPlacers.writeDue(bootclock.Now()))
}
