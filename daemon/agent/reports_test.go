package agent

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/job"
)

// listingServer is a backend server that answers holds for its ID, unless it is silent.
type listingServer struct {
	resettingServer
	instance job.Instance
	silent   bool
}

func (s *listingServer) Hold(_ context.Context, c worker.HoldCall, _ time.Duration) (worker.HoldResult, error) {
	if s.silent {
		return worker.HoldResult{}, errReset
	}
	if c.Instance.ID != s.instance.ID {
		return worker.HoldResult{}, errors.WithStack(worker.ErrOtherInstance)
	}
	return worker.HoldResult{StartedMS: s.instance.StartedMS}, nil
}

// Another writer reports that the backend server has started again under its ID, or a report of an
// earlier incarnation comes late. Guards against ending what runs on a server that has not started
// again, and against ignoring one that has.
func TestReportOfARestartIsCheckedWithTheServer(t *testing.T) {
	is := is.New(t)
	present := job.Instance{ID: "i", StartedMS: 2000}
	server := &listingServer{instance: present}
	a := New(coretest.Settings(), coretest.RejectingStore{}, core.DrainSource{}, nil)
	a.backend = server
	a.serving.Store(true)
	seq := int64(0)
	reportAs := func(i job.Instance) job.Instance {
		seq++
		a.Report(worker.Server{Instance: i, Service: "desk", Seq: seq}, 1)
		s, _ := a.worker.Server()
		return s.Instance
	}
	is.Equal(reportAs(present), present)
	later := job.Instance{ID: "i", StartedMS: 9000}
	is.Equal(reportAs(later), present)                                  // the server denies it
	is.Equal(reportAs(job.Instance{ID: "i", StartedMS: 1000}), present) // late
	is.Equal(reportAs(job.Instance{ID: "i"}), present)                  // no start time
	is.Equal(reportAs(job.Instance{ID: "j", StartedMS: 9000}), present) // no such server
	server.silent = true
	is.Equal(reportAs(later), present) // its lists show it once it answers
	server.silent, server.instance = false, later
	is.Equal(reportAs(later), later)
}
