// Package metrics provides the Prometheus registry of a process with the Go and process
// collectors, the counter of refusals by reason and the counter of malformed input. It also
// sets up klog.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/shallotstep/shallotstep/state"
)

const namespace = "shallotstep"

// reasonLabel is the label with a state.Reason, the same value as in problem documents.
const reasonLabel = "reason"

// Metrics holds the registry and the counters of a process. It is safe for concurrent use.
type Metrics struct {
	// Registry is served at /metrics. Other packages register their collectors with it.
	Registry *prometheus.Registry
	// Refusals counts the refusals of the process's HTTP API, by reason.
	Refusals *prometheus.CounterVec
}

// New returns the metrics of a process. The series of every documented reason starts at zero: a
// series that only appears with its first count hides that count from rates and alerts.
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

// Refused counts a refusal. All undocumented reasons share one series.
func (m *Metrics) Refused(reason state.Reason) {
	m.Refusals.WithLabelValues(string(reason.Normalize())).Inc()
}
