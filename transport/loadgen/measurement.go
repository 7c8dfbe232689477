package loadgen

import (
	"slices"
	"time"
)

// reportFormat is the version of the report file. It increases when the meaning
// of a field changes.
const reportFormat = 2

// idealNote explains the ideal and packed response times in each report.
const idealNote = "ideal: the larger of a job's longest task and its work spread over the slots of the service that were " +
	"free before the run by the entry's status, and five round trips between caller and entry; " +
	"packed: one all-knowing queue in order of arrival over all slots of the service"

// Measurement is the result of a plan.
type Measurement struct {
	Format int    `json:"format"`
	Note   string `json:"note"`
	Plan   *Plan  `json:"plan"`
	// Elapsed is the time from the start of the run to the last answer and the
	// end of the last step.
	Elapsed Duration     `json:"elapsed_ms"`
	Loads   []*Report    `json:"loads"`
	Steps   []StepResult `json:"steps"`
	Starts  Starts       `json:"starts"`
	// Passed is true if no check failed, no task was started twice, lost or
	// started though its job is "not run", the starts could be counted, and
	// every step was carried out.
	Passed bool `json:"passed"`
}

func newMeasurement(p *Plan, loads []*loadRun, elapsed time.Duration) *Measurement {
	m := &Measurement{Format: reportFormat, Note: idealNote, Plan: p, Elapsed: Duration(elapsed)}
	for _, l := range loads {
		m.Loads = append(m.Loads, newReport(l))
	}
	return m
}

// setPassed sets Passed from the other fields.
func (m *Measurement) setPassed() {
	m.Passed = m.Starts.Failed() == 0 && m.Starts.Failure == "" &&
		!slices.ContainsFunc(m.Loads, func(r *Report) bool { return !r.Passed() }) &&
		!slices.ContainsFunc(m.Steps, func(s StepResult) bool { return s.Failure != "" })
}
