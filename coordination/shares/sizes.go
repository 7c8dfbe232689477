package shares

import "time"

// sizeEdges are the upper bounds of the size classes of a queue's jobs, as multiples of the mean
// work of a job. The last class has no bound.
var sizeEdges = [...]float64{0.5, 1, 2}

const (
	numSizes = len(sizeEdges) + 1
	// leastOfMean is the least part of a size class that is accepted, as a multiple of the part of
	// all jobs that is: large jobs get a little more than half of what the mean job gets.
	leastOfMean = 0.6
	// sizeRounds is the number of steps in which divideSizes approaches the part of all jobs.
	sizeRounds = 8
	// meanWeight is the weight of a new job in the mean work of a queue.
	meanWeight = 0.02
)

// sizeClass is the part of an account for jobs of about the same size.
type sizeClass struct {
	bucket
	// work and jobs are what is asked for, in cores and in jobs a second.
	work, jobs rate
	// mostAhead is the work that the class may take ahead while it or the queue is under its share.
	mostAhead time.Duration
	// unlimited is set if the class gets all that it asks for.
	unlimited bool
}

// sizeOf returns the size class of a job.
func (a *account) sizeOf(work time.Duration) int {
	for i, edge := range sizeEdges {
		if float64(work) <= edge*a.meanWork {
			return i
		}
	}
	return numSizes - 1
}

// divideSizes returns which part of each size class is accepted, given the rates of work and of jobs
// that are asked for. Small jobs come first, because more of them fit, but no class falls below
// leastOfMean of what all jobs together get.
func divideSizes(share float64, work, jobs [numSizes]float64) (parts [numSizes]float64) {
	var allWork, allJobs float64
	for i := range work {
		allWork += work[i]
		allJobs += jobs[i]
	}
	if allWork <= share || allJobs <= 0 {
		return [numSizes]float64{1, 1, 1, 1}
	}
	mean := share / allWork
	for range sizeRounds {
		least := min(leastOfMean*mean, share/allWork)
		left := share - least*allWork
		var accepted float64
		for i := range work {
			parts[i] = least
			if work[i] > 0 {
				more := min((1-least)*work[i], left)
				parts[i] += more / work[i]
				left -= more
			}
			accepted += parts[i] * jobs[i]
		}
		mean = (mean + accepted/allJobs) / 2
	}
	return parts
}
