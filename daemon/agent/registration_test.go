package agent

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
)

// registryStore records the registrations that are written.
type registryStore struct {
	coretest.RejectingStore
	mu      sync.Mutex
	written []core.Registration // guarded by mu
}

func (s *registryStore) Append(_ context.Context, p store.Partition, _ *store.Producer, records []store.Record) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p == core.RegistryPartition {
		var reg core.Registration
		if err := json.Unmarshal(records[0].Value, &reg); err != nil {
			return 0, err
		}
		s.written = append(s.written, reg)
	}
	return 0, nil
}

// The capacity of a backend server alternates with each of its reports. If the registration were
// written each time, all entries would read it as often. The first registration is written at
// once, later ones at most once a second, and the last one written has the last capacity reported.
func TestRegistrationFollowsTheCapacityWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := &registryStore{}
		a := New(&settings.Settings{Role: settings.RoleAgent, Name: "a", Store: settings.Store{Topics: 1, Partitions: coretest.Shards}}, st, core.DrainSource{}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { a.maintainRegistration(ctx) })
		const reports = 50
		for i := range reports {
			a.apply(a.worker.Report(time.Hour, worker.Server{
				Instance: job.Instance{ID: "i"}, Service: "desk", Seq: int64(i), Capacity: job.Demand{CPUMillis: int64(1000 * (i % 2))},
			}, int64(i)))
			a.offerChanged()
			synctest.Wait()
			if i == 0 {
				is.Equal(len(st.written), 1)
			}
			time.Sleep(registrationInterval / 10)
		}
		time.Sleep(2 * registrationInterval)
		synctest.Wait()
		cancel()
		done.Wait()
		is.True(len(st.written) <= reports/10+2)
		is.Equal(st.written[len(st.written)-1].Offer.Capacity.CPUMillis, int64(1000))
	})
}
