package loadgen

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// Report is the result of one load. The summaries of response times include
// complete jobs only.
type Report struct {
	Config Config `json:"config"`
	// Agents, Slots and FreeSlots are those of the service before the run.
	// RoundTrip is the shortest round trip between caller and entry before the
	// run.
	Agents    int      `json:"agents"`
	Slots     int      `json:"slots"`
	FreeSlots int      `json:"free_slots"`
	RoundTrip Duration `json:"round_trip_ms"`
	// Jobs, Tasks and Load are the offered load. Load is the total run time of
	// the tasks divided by the capacity of all slots during the run's length.
	Jobs  int     `json:"jobs"`
	Tasks int     `json:"tasks"`
	Load  float64 `json:"load"`
	// Elapsed is the time from the start of the run to the last answer.
	// StartsPerSecond is the number of tasks of complete jobs divided by it.
	Elapsed         Duration `json:"elapsed_ms"`
	StartsPerSecond float64  `json:"starts_per_second"`
	// Outcomes counts all jobs by outcome and reason.
	Outcomes []OutcomeCount `json:"outcomes"`
	// Response and Ideal are in milliseconds. Ratio is the response time divided
	// by the ideal.
	Response Summary `json:"response_ms"`
	Ideal    Summary `json:"ideal_ms"`
	Ratio    Summary `json:"response_over_ideal"`
	// OverPacked is the response time divided by that of packedResponses, and
	// LostToPacked the difference in milliseconds, or zero if it is negative.
	OverPacked   Summary `json:"response_over_packed"`
	LostToPacked Summary `json:"lost_to_packed_ms"`
	// SendLag is the time from when a call was due to when it was sent, in
	// milliseconds. If it is large, the load generator is the bottleneck.
	SendLag Summary `json:"send_lag_ms"`
	// CompleteTasks is the number of tasks of complete jobs.
	CompleteTasks int           `json:"complete_tasks"`
	Resubmissions Resubmissions `json:"resubmissions"`
	Cancellations Cancellations `json:"cancellations"`
	Checks        []Check       `json:"checks"`
	Violations    []Violation   `json:"violations"`
	Rows          []Row         `json:"rows"`
}

// OutcomeCount is the number of jobs with the same outcome and reason.
type OutcomeCount struct {
	Outcome string       `json:"outcome"`
	Reason  state.Reason `json:"reason,omitempty"`
	Jobs    int          `json:"jobs"`
}

// Row is the result of one job. Due is from the start of the run.
type Row struct {
	Due      Duration `json:"due_ms"`
	Response Duration `json:"response_ms"`
	Ideal    Duration `json:"ideal_ms"`
	Packed   Duration `json:"packed_ms"`
	Tasks    int      `json:"tasks"`
	// Outcome and Reason are those of the first submission. Settled is the final
	// outcome of the id: that of the second submission if it was sent after the
	// first had been answered with "not run", else the same as Outcome.
	Outcome string       `json:"outcome"`
	Reason  state.Reason `json:"reason,omitempty"`
	Settled string       `json:"settled"`
}

// Passed reports whether no check failed.
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

// row returns the result of a job. A job that was not submitted before the run
// ended is "not run" with the reason reasonNotSent.
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

// JobID returns the id of the job in Rows[i].
func (r *Report) JobID(i int) string { return jobID(r.Config.Run, i) }
