package owner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/shedding"
)

// observeCapacityLocked takes in how much capacity of each service accepts work now, and reports
// whether some was just lost.
func (s *Shard) observeCapacityLocked(now time.Duration, fx *Effects) bool {
	if !s.fleet.params.Shedding {
		return false
	}
	if s.shed.capacity == nil {
		s.shed.capacity, s.shed.accepting = make(map[string]*shedding.Capacity), make(map[string]int64)
	}
	s.fleet.acceptingMillis(s.shed.accepting)
	for service := range s.shed.accepting {
		s.capacityOfLocked(service)
	}
	fallen := false
	for _, service := range slices.Sorted(maps.Keys(s.shed.capacity)) {
		c, cores := s.shed.capacity[service], float64(s.shed.accepting[service])/1000
		if c.Observe(now, cores) {
			fallen = true
			reason := fmt.Sprintf("%.0f of %.0f cores", cores, c.Former())
			fx.log(Decision{Kind: kindCapacityFallen, Reason: reason, Count: len(s.waiting.tasks)})
		}
		if c.Former() == 0 && !c.Short(now) {
			delete(s.shed.capacity, service)
		}
	}
	return fallen
}

// capacityOfLocked returns the capacity of a service, without a past if it is new.
func (s *Shard) capacityOfLocked(service string) *shedding.Capacity {
	c := s.shed.capacity[service]
	if c == nil {
		c = &shedding.Capacity{}
		s.shed.capacity[service] = c
	}
	return c
}

// countSubmissionLocked counts a submission for a service, which is a return if its client had waited
// before it lost its connection.
func (s *Shard) countSubmissionLocked(now time.Duration, service string, returned bool) {
	if s.shed.capacity != nil {
		s.capacityOfLocked(service).Submitted(now, returned)
	}
}

// startPeriod is how long an owner takes capacity for short after its start. It may have started
// because everything has, and it has not measured yet how much capacity is left to late jobs, which
// takes two times Params.LateRateWindow.
const startPeriod = time.Second

// capacityShortLocked reports whether work for a service is shed and returns are spread.
func (s *Shard) capacityShortLocked(now time.Duration, service string) bool {
	if !s.fleet.params.Shedding {
		return false
	}
	c := s.shed.capacity[service]
	return c != nil && c.Short(now) || s.startingLocked(now)
}

// anyCapacityShortLocked reports whether capacity is short for any service.
func (s *Shard) anyCapacityShortLocked(now time.Duration) bool {
	if !s.fleet.params.Shedding {
		return false
	}
	for _, c := range s.shed.capacity {
		if c.Short(now) {
			return true
		}
	}
	return s.startingLocked(now)
}

func (s *Shard) startingLocked(now time.Duration) bool { return now-s.openedAt < startPeriod }

// shortLatePriorShare is Params.LatePriorShare while capacity is short: a job that is accepted as late
// for capacity that isn't there holds its client in vain. It is not zero, so that late jobs find out
// when some is left over.
const shortLatePriorShare = 0.01

func (s *Shard) latePriorShareLocked(now time.Duration, service string) float64 {
	if s.capacityShortLocked(now, service) {
		return shortLatePriorShare
	}
	return s.fleet.params.LatePriorShare
}

// lateShareLocked is Params.LateShare, or while capacity is short the share within which a late job
// isn't shed again.
func (s *Shard) lateShareLocked(now time.Duration, service string) float64 {
	if s.capacityShortLocked(now, service) {
		return min(s.fleet.params.LateShare, shedding.MaxLateWaitShare)
	}
	return s.fleet.params.LateShare
}
