package load

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/state/job"
)

// class describes the jobs of one queue, which all have one step.
type class struct {
	queue         string
	jobsPerSecond float64
	meanTasks     float64
	meanWork      time.Duration
	cpuMillis     int64
	value         float64
	priority      int
	// spread replaces workSpread and taskCountSpread if it isn't zero.
	spread float64
}

// grownMix is the mix of a site that has grown to 922 jobs per second on 59 agents. The rates of
// this and the other mixes are for one agent.
var grownMix = []class{
	{queue: "short", jobsPerSecond: 223. / 55, meanTasks: 8, meanWork: 60 * time.Millisecond, cpuMillis: 1300, value: 0.00485},
	{queue: "long", jobsPerSecond: 50.7 / 55, meanTasks: 4, meanWork: 900 * time.Millisecond, cpuMillis: 1300, value: 0.0267, priority: 2},
	{queue: "usual", jobsPerSecond: 648. / 55, meanTasks: 2, meanWork: 200 * time.Millisecond, cpuMillis: 1300, value: 0.00167, priority: 1},
}

// shiftedMix is the mix of a site whose work has shifted to longer jobs: 717 jobs per second on 51
// agents.
var shiftedMix = []class{
	{queue: "short", jobsPerSecond: 166. / 51, meanTasks: 8, meanWork: 60 * time.Millisecond, cpuMillis: 1200, value: 0.00485},
	{queue: "long", jobsPerSecond: 65.8 / 51, meanTasks: 4, meanWork: 900 * time.Millisecond, cpuMillis: 1200, value: 0.0267, priority: 2},
	{queue: "usual", jobsPerSecond: 485. / 51, meanTasks: 2, meanWork: 200 * time.Millisecond, cpuMillis: 1200, value: 0.00167, priority: 1},
}

// wideMix is the mix of sites with larger tasks, of which ten fill a worker: 140 jobs per second on
// 11 agents.
var wideMix = []class{
	{queue: "short", jobsPerSecond: 34.4 / 11, meanTasks: 8, meanWork: 60 * time.Millisecond, cpuMillis: 1550, value: 0.0291},
	{queue: "long", jobsPerSecond: 6.25 / 11, meanTasks: 4, meanWork: 900 * time.Millisecond, cpuMillis: 1550, value: 0.16, priority: 2},
	{queue: "usual", jobsPerSecond: 100. / 11, meanTasks: 2, meanWork: 200 * time.Millisecond, cpuMillis: 1550, value: 0.01, priority: 1},
}

// largeSiteMix is the mix of a large site: 1,385 jobs per second on 160 agents.
var largeSiteMix = []class{
	{queue: "short", jobsPerSecond: 334. / 160, meanTasks: 8, meanWork: 60 * time.Millisecond, cpuMillis: 2500, value: 0.00323},
	{queue: "long", jobsPerSecond: 75.8 / 160, meanTasks: 4, meanWork: 900 * time.Millisecond, cpuMillis: 2500, value: 0.0178, priority: 2},
	{queue: "usual", jobsPerSecond: 972. / 160, meanTasks: 2, meanWork: 200 * time.Millisecond, cpuMillis: 2500, value: 0.00111, priority: 1},
}

// coresPerAgent returns the mean number of cores that a mix occupies on each agent.
func coresPerAgent(mix []class) float64 {
	var cores float64
	for _, c := range mix {
		cores += c.jobsPerSecond * c.meanTasks * c.meanWork.Seconds() * float64(c.cpuMillis) / 1000
	}
	return cores
}

// request is a job as its client sees it.
type request struct {
	id          job.ID
	class       *class
	step        job.Step
	submittedAt time.Duration
	// sentAt is when the job was last sent, which is later than submittedAt if its client lost its
	// connection.
	sentAt    time.Duration
	taskWork  []time.Duration
	objective time.Duration
	// entry got the last submission. ended is set once the client has a response or has stopped
	// waiting.
	entry *entry
	ended bool
	// patient makes the client wait for patientTimeout.
	patient bool
	// crashes is set if the job's first task crashes each backend server that starts it. starts and
	// lost count the starts of that task and the servers it has crashed.
	crashes      bool
	starts, lost int
	// startsAtThirdLoss is the number of starts when the third server was lost.
	startsAtThirdLoss int
}

// tally counts the outcomes of jobs: submitted is their total, inTime counts those that ended within
// their objective, late those that ended after it but were still of use, and tooLate those that
// ended too late to be of use or failed.
type tally struct{ submitted, inTime, late, refused, tooLate int }

const (
	// The spreads are standard deviations of the logarithm: of a job's mean work, of its number of
	// tasks, of the work of its tasks, and of the estimate that the client gives.
	workSpread      = 0.4
	taskCountSpread = 0.4
	workSpreadInJob = 0.15
	estimateSpread  = 0.4
	// A job's objective is slackFactor times its longest task, plus targetLatency.
	slackFactor   = 1.6
	targetLatency = 60 * time.Millisecond
	// lateFactor is how many times its objective a job may take before its result is of no use.
	lateFactor = 3
	// minTimeout is the part of a client's timeout that doesn't depend on the job's objective.
	minTimeout = 1500 * time.Millisecond
	// maxOverMean bounds random values, as a multiple of their mean.
	maxOverMean = 4
)

// logNormal draws from a log-normal distribution with a mean, bounded by maxOverMean times the
// mean.
func (w *world) logNormal(mean, spread float64) float64 {
	x := mean * math.Exp(spread*w.rand.NormFloat64()-spread*spread/2)
	return min(x, maxOverMean*mean)
}

func (w *world) work(run job.RunID) time.Duration {
	return w.jobs[run.Task.Job].taskWork[run.Task.Index]
}

// arrive draws a job of a class and submits it.
func (w *world) arrive(c *class) { w.submit(w.draw(c)) }

// draw returns a random job of a class.
func (w *world) draw(c *class) *request {
	spreadOfWork, spreadOfCount := workSpread, taskCountSpread
	if c.spread > 0 {
		spreadOfWork, spreadOfCount = c.spread, c.spread
	}
	mean := w.logNormal(float64(c.meanWork), spreadOfWork)
	n := max(1, int(math.Round(w.logNormal(c.meanTasks, spreadOfCount))))
	r := &request{class: c, submittedAt: w.now, patient: w.patient, id: job.ID(fmt.Sprintf("%016x", len(w.jobs)+1))}
	for range n {
		r.taskWork = append(r.taskWork, time.Duration(w.logNormal(mean, workSpreadInJob)))
		w.lengthenSome(r)
	}
	r.objective = time.Duration(slackFactor*float64(slices.Max(r.taskWork))) + targetLatency
	if w.stretchTasks {
		w.stretch(r)
	}
	r.step = job.Step{
		Count: n, Demand: job.Demand{CPUMillis: c.cpuMillis, MemoryMB: 64}, Estimate: time.Duration(w.logNormal(mean, estimateSpread)),
	}
	return r
}

// stretch makes a few tasks of a job take much longer than their objective and estimate say.
func (w *world) stretch(r *request) {
	for i := range r.taskWork {
		if w.rand.Float64() < tailShare {
			r.taskWork[i] *= tailFactor
		}
	}
}

// submit sends a job to an entry. If there is no response within the job's timeout, the client
// abandons the job.
func (w *world) submit(r *request) {
	w.jobs[r.id] = r
	w.send(r)
	w.after(r.timeout(), func() {
		if r.ended {
			return
		}
		w.record(r, owner.Response{Outcome: owner.Unknown})
		if e := r.entry; e != nil && !e.down {
			e.apply(e.Abandon(w.now, r.id))
		}
	})
}

// timeout returns how long the client waits in total. Each submission carries the time that is
// left.
func (r *request) timeout() time.Duration {
	if r.patient {
		return patientTimeout
	}
	return minTimeout + lateFactor*r.objective
}

// busyShare is the share of the jobs that uneven traffic sends to the first entry beyond its even
// part. With seven other entries, the first one gets about three times as many jobs as each of
// them.
const busyShare = 0.16

// send submits a job to a random entry. If that entry is down, the job is sent again after
// resendDelay.
func (w *world) send(r *request) {
	left := r.submittedAt + r.timeout() - w.now
	if r.ended || left <= 0 {
		return
	}
	e := w.entries[w.rand.IntN(len(w.entries))]
	if w.unevenTraffic && w.rand.Float64() < busyShare {
		e = w.entries[0]
	}
	if w.entryOf != nil {
		e = w.entryOf(r)
	}
	if e.down {
		w.after(resendDelay, func() { w.send(r) })
		return
	}
	if w.equalTimeouts {
		left = min(left, minTimeout)
	}
	spec := job.Spec{BestEffort: true, ClientTimeout: left, Steps: []job.Step{r.step}}
	policy := r.policy()
	r.entry, r.sentAt = e, w.now
	incarnation := e.incarnation
	e.apply(e.Submit(w.now, r.id, spec, policy, func(v owner.Response) {
		if !r.ended && e.incarnation == incarnation {
			w.record(r, v)
		}
	}))
}

func (r *request) policy() job.Policy {
	c := r.class
	return job.Policy{Queue: c.queue, Service: service, Priority: c.priority, MaxAttempts: 3, Slack: slackFactor, Target: targetLatency, RequestTimeout: minTimeout}
}

// record counts the outcome of a job.
func (w *world) record(r *request, v owner.Response) {
	if w.onOutcome != nil {
		w.onOutcome(r, v)
	}
	if r.crashes {
		r.ended = true
		return // jobs that crash their servers can't complete and are not counted
	}
	if v.Outcome == owner.OK && v.State == job.Failed {
		w.wronglyGivenUp++
	}
	t := w.tallies[r.class.queue]
	if t == nil {
		t = &tally{}
		w.tallies[r.class.queue] = t
	}
	elapsed := w.now - r.submittedAt
	r.ended = true
	w.trace("job %s outcome %v state %v reason %q retry after %v", r.id, v.Outcome, v.State, v.Reason, v.RetryAfter)
	if v.Outcome == owner.Refused && w.hasAdequateRoom(r) {
		w.refusedBesideRoom++
	}
	if r.entry == w.entries[0] {
		w.busyEntry.submitted++
		if v.Outcome == owner.OK && v.State == job.Completed && elapsed <= r.objective {
			w.busyEntry.inTime++
		}
	}
	t.submitted++
	if w.recorded != nil {
		w.recorded(r, v)
	}
	switch {
	case v.Outcome == owner.Refused:
		t.refused++
	case v.Outcome != owner.OK || v.State != job.Completed || elapsed > lateFactor*r.objective:
		t.tooLate++
	case elapsed > r.objective:
		t.late++
	default:
		t.inTime++
	}
}

// run submits the jobs of a mix at a share of the agents' capacity for a time.
func (w *world) run(mix []class, share float64, length time.Duration) {
	var totalCores float64
	for i := range w.agents {
		totalCores += 16
		if i%3 == 2 {
			totalCores += 8
		}
	}
	scale := share * totalCores / coresPerAgent(mix)
	end := w.now + length
	for i := range mix {
		c := &mix[i]
		var next func()
		next = func() {
			if w.now >= end {
				return
			}
			w.arrive(c)
			w.after(time.Duration(w.rand.ExpFloat64()/(c.jobsPerSecond*scale*w.burstFactor*w.classFactor(c))*float64(time.Second)), next)
		}
		w.after(0, next)
	}
	w.runUntil(end)
}

// servedValue returns the share of the value of all jobs that was served. Late responses count a
// fifth.
func (w *world) servedValue(mix []class) float64 {
	var gained, possible float64
	for _, c := range mix {
		t := w.tallies[c.queue]
		if t == nil {
			continue
		}
		gained += c.value * (float64(t.inTime) + 0.2*float64(t.late))
		possible += c.value * float64(t.submitted)
	}
	return gained / possible
}

func (t tally) plus(o *tally) tally {
	return tally{t.submitted + o.submitted, t.inTime + o.inTime, t.late + o.late, t.refused + o.refused, t.tooLate + o.tooLate}
}

// inTimeShare returns the share of the jobs that ended within their objective.
func (t tally) inTimeShare() float64 { return float64(t.inTime) / float64(t.submitted) }
