package owner

import (
	"math"
	"slices"
	"time"
)

// serverSpeeds relates the speeds that the agents of one service report to their median. The speeds
// may share a factor, because they are measured against estimates that may all be off. Guarded by
// Fleet.mu.
type serverSpeeds struct {
	// reference is the moving median of the reported speeds; zero: none is known.
	reference float64
	updatedAt time.Duration
	// uneven is set while the speed of a server differs significantly from the others'.
	uneven bool
	// best is the highest speed of a server that accepts work; zero: there is none.
	best float64
	// known is the number of servers whose speeds were known at the last update.
	known int
	// reported is reused by each update.
	reported []float64
}

const (
	// speedUpdateInterval is how often the median is taken. Loads arrive some hundred times a
	// second, and the speeds in them change over seconds.
	speedUpdateInterval = 100 * time.Millisecond
	// referenceWindow is the time constant with which the reference follows the median. The
	// queues' run times are learned over some fifty runs and have to follow it.
	referenceWindow = 2 * time.Second
	// minKnownShare is the share of the servers whose speeds have to be known. The first ones known
	// are those that get the most work, and not usual ones.
	minKnownShare = 0.5
	// minSpeedDifference is the difference from the reference, as a ratio, below which placement
	// by speed gains less than the predictions are off.
	minSpeedDifference = 1.1
	// runTimeSpread is the standard deviation of the logarithm of a run's measured over its
	// expected run time.
	runTimeSpread = 0.5
	// significantErrors is the number of standard errors from which on a difference is significant.
	// With 160 servers of equal speed, fewer would take some of them for slow ones.
	significantErrors = 4
)

// relative returns the speed of a server relative to the reference, or 1 unless it differs
// significantly.
func (s *serverSpeeds) relative(l *AgentLoad) float64 {
	if l.Speed <= 0 || l.SpeedRuns <= 0 || s.reference <= 0 {
		return 1
	}
	speed := l.Speed / s.reference
	standardError := runTimeSpread / math.Sqrt(float64(l.SpeedRuns))
	if math.Abs(math.Log(speed)) <= max(math.Log(minSpeedDifference), significantErrors*standardError) {
		return 1
	}
	return speed
}

// updateSpeedLocked updates an agent's speed after a load, and now and then the reference and the
// speeds of all agents of the service.
func (f *Fleet) updateSpeedLocked(now time.Duration, v *agentView) {
	if !f.params.ServerSpeeds {
		return
	}
	service := v.load.Service
	s := f.speeds[service]
	if s == nil {
		s = &serverSpeeds{}
		f.speeds[service] = s
	}
	v.speed = s.relative(&v.load)
	if now-s.updatedAt < speedUpdateInterval {
		s.uneven = s.uneven || v.speed != 1
		return
	}
	s.moveReference(now, service, f.ordered)
	s.updatedAt = now
	s.uneven, s.best = false, 0
	for _, o := range f.ordered {
		if o.load.Service != service {
			continue
		}
		o.speed = s.relative(&o.load)
		s.uneven = s.uneven || o.speed != 1
		if o.acceptsWork() && !o.retired {
			s.best = max(s.best, o.speed)
		}
	}
}

// moveReference moves the reference towards the median of the reported speeds of a service.
func (s *serverSpeeds) moveReference(now time.Duration, service string, agents []*agentView) {
	s.reported = s.reported[:0]
	servers := 0
	for _, v := range agents {
		if v.load.Service != service {
			continue
		}
		servers++
		if v.load.Speed > 0 && v.load.SpeedRuns > 0 {
			s.reported = append(s.reported, v.load.Speed)
		}
	}
	if len(s.reported) == 0 || float64(len(s.reported)) < minKnownShare*float64(servers) {
		s.reference, s.known = 0, 0
		return
	}
	slices.Sort(s.reported)
	n := len(s.reported)
	median := math.Sqrt(s.reported[(n-1)/2] * s.reported[n/2])
	if s.reference <= 0 {
		s.reference = median
	}
	// Servers whose speed has become known count at once, or the first ones would decide for long.
	changed := math.Abs(float64(n-s.known)) / float64(n)
	weight := max(1-math.Exp(-float64(now-s.updatedAt)/float64(referenceWindow)), min(changed, 1))
	s.reference *= math.Pow(median/s.reference, weight)
	s.known = n
}

// bestSpeed returns the highest speed of the servers of a service; 1 if speeds don't differ.
func (f *Fleet) bestSpeed(service string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.speeds[service]; s != nil && s.uneven && s.best > 0 {
		return s.best
	}
	return 1
}

// unevenSpeeds reports whether the speeds of the servers of a service differ significantly.
func (f *Fleet) unevenSpeeds(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unevenSpeedsLocked(service)
}

func (f *Fleet) unevenSpeedsLocked(service string) bool {
	s := f.speeds[service]
	return s != nil && s.uneven
}

// speedOf returns the speed of the server beside an agent relative to the others', or zero if speeds
// aren't considered.
func (f *Fleet) speedOf(node string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.agents[node]
	if v == nil {
		return 0
	}
	return f.speedLocked(v)
}

func (f *Fleet) speedLocked(v *agentView) float64 {
	if !f.params.ServerSpeeds {
		return 0
	}
	return v.speed
}

// runTime returns how long a task runs on a server with an expected run time of run at speed 1.
func (v *agentView) runTime(run time.Duration) time.Duration {
	if v.speed == 1 {
		return run
	}
	return time.Duration(float64(run) / v.speed)
}
