package owner

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// objective returns the latency objective of a job: the length of its critical path, by the run
// times measured in its queue, times the queue's slack factor, plus the queue's target.
func (s *Shard) objective(spec *job.Spec, p *job.Policy) time.Duration {
	criticalPath := s.criticalPath(spec, p)
	return time.Duration(float64(criticalPath)*max(p.Slack, 1)) + p.Target
}

func (s *Shard) criticalPath(spec *job.Spec, p *job.Policy) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	var longest time.Duration
	for i := range spec.Steps {
		var after time.Duration
		for _, d := range spec.Steps[i].DependsOn {
			if d >= 0 && d < i {
				after = max(after, ends[d])
			}
		}
		ends[i] = after + s.fleet.ExpectedRunTime(p.Queue, spec.Steps[i].Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}
