package loadgen

import (
	"slices"
	"time"
)

// reportFormat is raised when a field changes its meaning.
const reportFormat = 2

// idealNote states in each report what the ideal is.
const idealNote = "ideal: the larger of a job's longest task and its work spread over the slots of the service that were " +
	"free before the run by the entry's status, and five round trips between caller and entry; " +
	"packed: one all-knowing queue in order of arrival over all slots of the service"

// Measurement is what a plan came to.
type Measurement struct {
	Format int    `json:"format"`
	Note   string `json:"note"`
	Plan   *Plan  `json:"plan"`
	// Elapsed is until the last answer and the end of the last step.
	Elapsed Duration     `json:"elapsed_ms"`
	Loads   []*Report    `json:"loads"`
	Steps   []StepResult `json:"steps"`
	Starts  Starts       `json:"starts"`
	// Passed says that no check failed, no task was doubled, lost or started
	// though not run, and every step was carried out.
	Passed bool `json:"passed"`
}

func newMeasurement(p *Plan, loads []*loadRun, elapsed time.Duration) *Measurement {
	m := &Measurement{Format: reportFormat, Note: idealNote, Plan: p, Elapsed: Duration(elapsed)}
	for _, l := range loads {
		m.Loads = append(m.Loads, newReport(l))
	}
	return m
}

func (m *Measurement) setPassed() {
	m.Passed = m.Starts.Failed() == 0 && m.Starts.Failure == "" &&
		!slices.ContainsFunc(m.Loads, func(r *Report) bool { return !r.Passed() }) &&
		!slices.ContainsFunc(m.Steps, func(s StepResult) bool { return s.Failure != "" })
}
