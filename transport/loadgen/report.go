package loadgen

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// reportFormat is raised when a field changes its meaning.
const reportFormat = 1

// idealNote states in each report what the ideal is.
const idealNote = "ideal: the larger of a job's longest task and its work spread over all slots of the service " +
	"that the entry's status showed before the run; packed: one all-knowing queue in order of arrival over these slots"

// Report is what a run came to. Response, Ratio and Packed count complete jobs
// only; Outcomes tells of the others.
type Report struct {
	Format int    `json:"format"`
	Config Config `json:"config"`
	Note   string `json:"note"`
	// Agents and Slots are those of the service before the run.
	Agents int `json:"agents"`
	Slots  int `json:"slots"`
	// Jobs, Tasks and Load were offered. Load is the work that arrived over
	// what all slots do in the length of the run.
	Jobs  int     `json:"jobs"`
	Tasks int     `json:"tasks"`
	Load  float64 `json:"load"`
	// Elapsed is until the last answer.
	Elapsed  Duration       `json:"elapsed_ms"`
	Outcomes []OutcomeCount `json:"outcomes"`
	// Response and Ideal are in milliseconds, Ratio is response over ideal.
	Response Figures `json:"response_ms"`
	Ideal    Figures `json:"ideal_ms"`
	Ratio    Figures `json:"response_over_ideal"`
	// OverPacked is response over what an all-knowing queue would give, and
	// LostToPacked the difference in milliseconds, zero where it is negative.
	OverPacked   Figures `json:"response_over_packed"`
	LostToPacked Figures `json:"lost_to_packed_ms"`
	// SendLag is by how much calls left later than they were due, in
	// milliseconds. A large one says that the load tool is the bottleneck.
	SendLag       Figures       `json:"send_lag_ms"`
	Messages      Messages      `json:"messages"`
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
	Outcome  string       `json:"outcome"`
	Reason   state.Reason `json:"reason,omitempty"`
	Settled  string       `json:"settled"`
	Messages int          `json:"messages,omitempty"`
	Wasted   int          `json:"wasted,omitempty"`
}

// Passed says that no check failed.
func (r *Report) Passed() bool {
	return !slices.ContainsFunc(r.Checks, func(c Check) bool { return c.Failed > 0 })
}

func newReport(c *Config, size systemSize, jobs []planned, records []record, elapsed time.Duration) *Report {
	r := &Report{
		Format: reportFormat, Config: *c, Note: idealNote,
		Agents: size.agents, Slots: size.slots, Jobs: len(jobs), Elapsed: Duration(elapsed),
	}
	queue := packed(jobs, size.slots)
	checks := newChecker()
	work := time.Duration(0)
	var sums summaries
	for i := range records {
		rec := &records[i]
		checks.job(rec)
		row := rec.row(size.slots, queue[i])
		r.Rows = append(r.Rows, row)
		r.Tasks += len(rec.tasks)
		work += rec.work()
		sums.add(rec, &row)
		r.Messages.add(&row)
		r.Resubmissions.add(rec)
		r.Cancellations.add(rec)
	}
	r.Load = work.Seconds() / (float64(size.slots) * c.Length.D().Seconds())
	r.Outcomes = countOutcomes(r.Rows)
	r.Messages.finish()
	sums.into(r)
	r.Checks = checks.checks()
	r.Violations = append([]Violation{}, checks.violations...)
	return r
}

// row sums up a job. A job whose turn never came is reported as not sent.
func (r *record) row(slots int, packed time.Duration) Row {
	row := Row{
		Due: Duration(r.at), Ideal: Duration(r.ideal(slots)), Packed: Duration(packed),
		Tasks: len(r.tasks), Outcome: state.NotRun.String(), Reason: reasonNotSent, Settled: state.NotRun.String(),
	}
	if !r.first.made {
		return row
	}
	row.Response = Duration(r.first.response())
	row.Outcome, row.Reason = r.first.outcome().String(), r.first.reason()
	row.Settled = r.settled().String()
	if s := r.first.answer.Stats; s != nil && r.first.complete() {
		row.Messages, row.Wasted = s.Messages, s.Wasted
	}
	// A second caller costs messages as well: the later count holds both.
	if s := r.second.answer.Stats; s != nil && r.second.complete() && s.Messages > row.Messages {
		row.Messages, row.Wasted = s.Messages, s.Wasted
	}
	return row
}

// JobID returns the id of the job that Rows[i] is about.
func (r *Report) JobID(i int) string { return jobID(r.Config.Run, i) }
