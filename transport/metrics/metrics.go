// Package metrics makes the one registry of a process: the Go and process
// collectors, the counters of refusals and retries by reason, and gauges that
// are read from the machines' own Stats when somebody looks.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/shallotstep/shallotstep/state"
)

const namespace = "shallotstep"

// reasonLabel holds a state.Reason, the same word as in problem documents.
const reasonLabel = "reason"

// Metrics is what a process counts. It is safe for concurrent use.
type Metrics struct {
	// Registry is served at /metrics; other packages register with it.
	Registry *prometheus.Registry
	// Refusals counts submissions refused or failed, by reason.
	Refusals *prometheus.CounterVec
	// Retries counts tries beyond the first, by the reason of the last failure.
	Retries *prometheus.CounterVec
}

// New returns the metrics of a process, with every documented reason at zero. A
// series that comes into being with its first count hides that count from rates
// and alerts.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		Refusals: byReason("refusals_total", "Submissions refused or failed, by reason."),
		Retries:  byReason("retries_total", "Tries beyond the first, by the reason of the failure before."),
	}
	m.Registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.Refusals,
		m.Retries,
	)
	return m
}

func byReason(name, help string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
	vec := prometheus.NewCounterVec(opts, []string{reasonLabel})
	for _, reason := range state.Reasons() {
		vec.WithLabelValues(string(reason))
	}
	return vec
}

// Refused counts a refusal.
func (m *Metrics) Refused(reason state.Reason) {
	m.Refusals.WithLabelValues(string(known(reason))).Inc()
}

// Retried counts a retry after a failure for the reason.
func (m *Metrics) Retried(reason state.Reason) {
	m.Retries.WithLabelValues(string(known(reason))).Inc()
}

// undocumented stands for reasons that are not in the list. Peers name reasons
// in messages: each new word would be a new series, for ever.
const undocumented state.Reason = "undocumented"

func known(reason state.Reason) state.Reason {
	if documented[reason] {
		return reason
	}
	return undocumented
}

var documented = func() map[state.Reason]bool {
	out := make(map[state.Reason]bool)
	for _, reason := range state.Reasons() {
		out[reason] = true
	}
	return out
}()
