package agent

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// speedLogInterval is the least time between two log lines about the speed of the backend server.
const speedLogInterval = 2 * time.Second

// speedLogChange is the change of the speed, as a factor, from which it is logged.
const speedLogChange = 1.2

// speedWatch notices when the speed of the backend server becomes known or changes. It is used by
// tickLoop only, and before that starts.
type speedWatch struct {
	// stored is the instance whose speed is in the notes or was asked to be written.
	stored job.Instance
	// logged is the speed of the last log line.
	logged   worker.Speed
	loggedAt time.Duration
}

// due reports whether a speed has to be logged, and whether the notes have to be written because it
// has just become known.
func (s *speedWatch) due(now time.Duration, v worker.Speed) (log, write bool) {
	if v.Runs == 0 {
		return false, false
	}
	write = v.Instance != s.stored
	s.stored = v.Instance
	changed := v.Instance != s.logged.Instance || math.Abs(math.Log(v.Speed/s.logged.Speed)) > math.Log(speedLogChange)
	if !changed || s.loggedAt > 0 && now-s.loggedAt < speedLogInterval {
		return false, write
	}
	s.logged, s.loggedAt = v, now
	return true, write
}

// checkSpeed logs the speed of the backend server when it has become known or has changed. The notes
// are written once when it becomes known; later values go with writes that happen anyway.
func (a *Agent) checkSpeed(now time.Duration) {
	v := a.worker.Speed(now)
	before := a.speeds.logged
	log, write := a.speeds.due(now, v)
	if write {
		a.recentPlacers.markDirty()
	}
	if !log {
		return
	}
	if before.Instance != v.Instance {
		before = worker.Speed{}
	}
	klog.InfoS("The speed of the backend server", "instance", v.Instance, "speed", roundSpeed(v.Speed), "runs", v.Runs, "before", roundSpeed(before.Speed))
}

// restoreSpeed passes the speed in the notes of an earlier incarnation to the worker, which takes it
// over if the same instance of the backend server runs.
func (a *Agent) restoreSpeed(now time.Duration, s *storedServer) {
	if s == nil || s.Speed == 0 {
		return
	}
	if !a.worker.RestoreSpeed(now, worker.Speed{Instance: s.instance(), Speed: s.Speed, Runs: s.SpeedRuns}) {
		metrics.Malformed(metrics.KindNotes)
		klog.InfoS("Ignoring a malformed speed in the notes of an earlier incarnation", "speed", s.Speed, "runs", s.SpeedRuns)
		return
	}
	a.speeds.stored = s.instance()
}

// serverSpeed returns the speed of the backend server for the metrics.
func (a *Agent) serverSpeed() worker.Speed { return a.worker.Speed(bootclock.Now()) }

// roundSpeed returns a speed as precisely as log lines have it.
func roundSpeed(speed float64) float64 { return math.Round(100*speed) / 100 }
