package loadgen

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// Report is what one load came to. Response, Ratio and Packed count complete
// jobs only; Outcomes tells of the others.
type Report struct {
	Config Config `json:"config"`
	// Agents, Slots and FreeSlots are those of the service before the run, and
	// RoundTrip is the shortest between caller and entry then.
	Agents    int      `json:"agents"`
	Slots     int      `json:"slots"`
	FreeSlots int      `json:"free_slots"`
	RoundTrip Duration `json:"round_trip_ms"`
	// Jobs, Tasks and Load were offered. Load is the work that arrived over
	// what all slots do in the length of the run.
	Jobs  int     `json:"jobs"`
	Tasks int     `json:"tasks"`
	Load  float64 `json:"load"`
	// Elapsed is until the last answer, StartsPerSecond the tasks of complete
	// jobs over that time.
	Elapsed         Duration `json:"elapsed_ms"`
	StartsPerSecond float64  `json:"starts_per_second"`
	// Outcomes tells of all jobs, by reason.
	Outcomes []OutcomeCount `json:"outcomes"`
	// Response and Ideal are in milliseconds, Ratio is response over ideal.
	Response Summary `json:"response_ms"`
	Ideal    Summary `json:"ideal_ms"`
	Ratio    Summary `json:"response_over_ideal"`
	// OverPacked is response over what an all-knowing queue would give, and
	// LostToPacked the difference in milliseconds, zero where it is negative.
	OverPacked   Summary `json:"response_over_packed"`
	LostToPacked Summary `json:"lost_to_packed_ms"`
	// SendLag is by how much calls left later than they were due, in
	// milliseconds. A large one says that the load tool is the bottleneck.
	SendLag Summary `json:"send_lag_ms"`
	// CompleteTasks are those of complete jobs.
	CompleteTasks int           `json:"complete_tasks"`
	Resubmissions Resubmissions `json:"resubmissions"`
	Cancellations Cancellations `json:"cancellations"`
	Checks        []Check       `json:"checks"`
	Violations    []Violation   `json:"violations"`
	Rows          []Row         `json:"rows"`
}

// OutcomeCount is how many jobs came to an outcome for a reason.
type OutcomeCount struct {
	Outcome string       `json:"outcome"`
	Reason  state.Reason `json:"reason,omitempty"`
	Jobs    int          `json:"jobs"`
}

// Row is one job.
type Row struct {
	Due      Duration `json:"due_ms"`
	Response Duration `json:"response_ms"`
	Ideal    Duration `json:"ideal_ms"`
	Packed   Duration `json:"packed_ms"`
	Tasks    int      `json:"tasks"`
	// Outcome and Reason are the first submission's. Settled is what holds of
	// the id in the end: the second one's outcome where that was sent after the
	// first one was known to have not run.
	Outcome string       `json:"outcome"`
	Reason  state.Reason `json:"reason,omitempty"`
	Settled string       `json:"settled"`
}

// Passed says that no check failed.
func (r *Report) Passed() bool {
	return !slices.ContainsFunc(r.Checks, func(c Check) bool { return c.Failed > 0 })
}

func newReport(l *loadRun) *Report {
	size, records := l.size, l.records
	r := &Report{
		Config: *l.config, Agents: size.agents, Slots: size.slots, FreeSlots: size.free,
		RoundTrip: Duration(size.roundTrip), Jobs: len(l.jobs),
	}
	packedTimes := packedResponses(l.jobs, size.slots)
	checks := newChecker()
	work := time.Duration(0)
	var hists histograms
	for i := range records {
		rec := &records[i]
		checks.checkJob(rec)
		row := rec.row(size, packedTimes[i])
		r.Rows = append(r.Rows, row)
		r.Tasks += len(rec.tasks)
		work += rec.work()
		r.Elapsed = max(r.Elapsed, Duration(max(rec.first.done, rec.second.done, rec.cancellation.done)))
		hists.add(rec, &row)
		if row.Outcome == state.Complete.String() {
			r.CompleteTasks += row.Tasks
		}
		r.Resubmissions.add(rec)
		r.Cancellations.add(rec)
	}
	r.Load = work.Seconds() / (float64(size.slots) * l.config.Length.D().Seconds())
	r.Outcomes = countOutcomes(r.Rows)
	if r.Elapsed > 0 {
		r.StartsPerSecond = float64(r.CompleteTasks) / r.Elapsed.D().Seconds()
	}
	hists.fillReport(r)
	r.Checks = checks.checks()
	r.Violations = append([]Violation{}, checks.violations...)
	return r
}

// row sums up a job. A job whose turn never came is reported as not sent.
func (r *record) row(size systemSize, packed time.Duration) Row {
	row := Row{
		Due: Duration(r.due), Ideal: Duration(r.idealResponse(size)), Packed: Duration(packed),
		Tasks: len(r.tasks), Outcome: state.NotRun.String(), Reason: reasonNotSent, Settled: state.NotRun.String(),
	}
	if !r.first.made {
		return row
	}
	row.Response = Duration(r.first.response())
	row.Outcome, row.Reason = r.first.outcome().String(), r.first.reason()
	row.Settled = r.settledOutcome().String()
	return row
}

// JobID returns the id of the job that Rows[i] is about.
func (r *Report) JobID(i int) string { return jobID(r.Config.Run, i) }
