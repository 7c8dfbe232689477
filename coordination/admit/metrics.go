package admit

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
)

// Metrics counts what the machine does with tasks.
type Metrics struct {
	starts  prometheus.Counter
	refusal *prometheus.CounterVec
	unused  prometheus.Counter
	control *prometheus.CounterVec
	unknown prometheus.Counter
}

// NewMetrics returns the counters, registered with r unless it is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotstep_admit_starts_total", Help: "Tasks handed to the backend server."}),
		refusal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstep_admit_refusals_total", Help: "Tasks refused before start, by reason."}, []string{"reason"}),
		unused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotstep_admit_credits_unused_total", Help: "Slots offered to a home that made no use of them."}),
		control: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstep_admit_controls_total", Help: "Running tasks interfered with, by verb and reason."}, []string{"verb", "reason"}),
		unknown: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotstep_admit_held_total", Help: "Tasks of unknown end that hold their room until their lease has lapsed."}),
	}
	if r != nil {
		r.MustRegister(m.starts, m.refusal, m.unused, m.control, m.unknown)
	}
	return m
}

func (m *Metrics) started()               { m.starts.Inc() }
func (m *Metrics) refused(r state.Reason) { m.refusal.WithLabelValues(string(r)).Inc() }
func (m *Metrics) controlled(v coordination.Verb, c coordination.Cause) {
	m.control.WithLabelValues(string(v), string(c)).Inc()
}
func (m *Metrics) held()              { m.unknown.Inc() }
func (m *Metrics) creditUnused(n int) { m.unused.Add(float64(n)) }
