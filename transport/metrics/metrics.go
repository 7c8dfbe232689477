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
	// Refusals counts refusals of the process's HTTP interface, by reason.
	Refusals *prometheus.CounterVec
}

// New returns the metrics of a process, with every documented reason at zero. A
// series that comes into being with its first count hides that count from rates
// and alerts.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		Refusals: newReasonCounter("refusals_total", "HTTP requests refused or failed, by reason."),
	}
	m.Registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.Refusals,
	)
	return m
}

func newReasonCounter(name, help string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
	vec := prometheus.NewCounterVec(opts, []string{reasonLabel})
	for _, reason := range state.Reasons() {
		vec.WithLabelValues(string(reason))
	}
	return vec
}

// Refused counts a refusal. Words that are not documented share one series.
func (m *Metrics) Refused(reason state.Reason) {
	m.Refusals.WithLabelValues(string(reason.Normalize())).Inc()
}
