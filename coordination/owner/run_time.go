package owner

import "time"

// ObserveRunTime updates a queue's ratio of measured run times to the client's estimates. It is that
// of a server of speed 1, so that objectives don't move with the servers that the work goes to.
func (f *Fleet) ObserveRunTime(queue, node string, estimate, work time.Duration) {
	if estimate <= 0 || work <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	speed := 1.0
	if v := f.agents[node]; v != nil {
		speed = v.speed
	}
	ratio := min(speed*float64(work)/float64(estimate), 10)
	old, ok := f.runTimeRatios[queue]
	if !ok {
		old = 1
	}
	f.runTimeRatios[queue] = old + f.params.RunTimeWeight*(ratio-old)
}

// defaultEstimate is used for a task without an estimate. Most tasks take between 50 ms and a
// second. Without a default such a job would have no slack at all and always be refused.
const defaultEstimate = 200 * time.Millisecond

// ExpectedRunTime corrects a client's estimate by the queue's measured run times.
func (f *Fleet) ExpectedRunTime(queue string, estimate time.Duration) time.Duration {
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if ratio, ok := f.runTimeRatios[queue]; ok {
		return time.Duration(float64(estimate) * ratio)
	}
	return estimate
}
