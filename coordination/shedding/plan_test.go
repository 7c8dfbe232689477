package shedding

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// waiting returns n jobs of equal work, submitted at zero, that must start at latest or, one after
// the other, gap later.
func waiting(n int, work, latest, gap time.Duration) []Job {
	out := make([]Job, n)
	for i := range out {
		out[i] = Job{Work: work, Objective: 400 * ms, LatestStart: latest + time.Duration(i)*gap}
	}
	return out
}

func count(verdicts []Verdict, v Verdict) int {
	n := 0
	for _, x := range verdicts {
		if x == v {
			n++
		}
	}
	return n
}

// Guards against giving up work although all of it can be in time.
func TestNothingIsGivenUpThatFits(t *testing.T) {
	is := is.New(t)
	jobs := waiting(10, 100*ms, 100*ms, 25*ms)
	is.Equal(count(InTime(0, jobs, 4), Keep), 10)
}

// Guards against a queue of which, once capacity has halved, every job is late.
func TestJobsBehindTheOnesGivenUpAreInTime(t *testing.T) {
	is := is.New(t)
	jobs := waiting(40, 100*ms, 100*ms, 25*ms)
	verdicts := InTime(0, jobs, 2)
	is.True(count(verdicts, GiveUp) > 0)
	var ahead time.Duration
	for i, v := range verdicts {
		if v == Keep {
			is.True(ahead/2 <= jobs[i].LatestStart) // each job kept starts in time with two cores
			ahead += jobs[i].Work
		}
	}
	is.True(count(verdicts, Keep) >= 18) // 40 jobs can start until 1,075 ms, in which two cores do 21
}

// Guards against a refusal that says "not run" of a job that has begun, and against one that comes
// when the client has no time left to go elsewhere.
func TestBegunAndHeldJobsAreNotGivenUp(t *testing.T) {
	is := is.New(t)
	begun := Job{Work: time.Second, Objective: 400 * ms, LatestStart: 200 * ms, MayHaveRun: true}
	held := Job{Work: time.Second, Objective: 400 * ms, LatestStart: 200 * ms, Since: -101 * ms}
	fresh := Job{Work: time.Second, Objective: 400 * ms, LatestStart: 200 * ms, Since: -99 * ms}
	is.Equal(InTime(0, []Job{begun, begun, held, fresh}, 1), []Verdict{Keep, Keep, Keep, GiveUp})
	is.Equal(InTime(201*ms, []Job{begun, held}, 1), []Verdict{Postpone, Postpone})
	is.Equal(Late(0, []Job{begun, held, fresh}, 1), []Verdict{Postpone, Keep, GiveUp})
}

// Guards against a plan that serves many small jobs by giving up all large ones.
func TestLargeJobsAreServedAsWellAsOthers(t *testing.T) {
	is := is.New(t)
	var jobs []Job
	for i := range 200 {
		j := Job{Work: 40 * ms, Objective: 400 * ms, LatestStart: 100*ms + time.Duration(i)*5*ms}
		if i%10 == 5 {
			j.Work = 160 * ms
		}
		jobs = append(jobs, j)
	}
	verdicts := InTime(0, jobs, 5)
	kept, large := 0, 0
	for i, v := range verdicts {
		if v == Keep {
			kept++
			if i%10 == 5 {
				large++
			}
		}
	}
	is.True(kept < len(jobs))
	is.True(float64(large)/20 >= float64(kept)/float64(len(jobs))/2)
}

// Guards against late work that is kept although no capacity is left over for it.
func TestLateJobsAreGivenUpWithoutCapacity(t *testing.T) {
	is := is.New(t)
	jobs := waiting(5, 100*ms, 900*ms, 0)
	is.Equal(count(Late(0, jobs, 0), GiveUp), 5)
	is.Equal(count(Late(0, jobs, 0.7), Keep), 3) // 0.7 cores do 315 ms of work until half of the time has passed
	is.Equal(count(Late(0, jobs, 10), Keep), 5)
}

// Guards against a job that is postponed until its client has stopped waiting.
func TestPostponedJobStartsWhileItIsOfUse(t *testing.T) {
	is := is.New(t)
	at, ok := PostponedStart(100*ms, 300*ms)
	is.True(ok)
	is.Equal(at, 200*ms)
	_, ok = PostponedStart(100*ms, 110*ms)
	is.True(!ok)
	_, ok = PostponedStart(100*ms, 50*ms)
	is.True(!ok)
}
