package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
)

// registerWorkerMetrics registers the counters of the worker's state machine.
func registerWorkerMetrics(m *core.Metrics, w *worker.Worker) {
	for _, c := range []struct {
		name, help string
		value      func(worker.Stats) int64
	}{
		{"starts_total", "Starts sent to the backend server.", func(s worker.Stats) int64 { return s.Started }},
		{"orders_refused_total", "Orders and starts that did not run.", func(s worker.Stats) int64 { return s.Refused }},
		{"orders_returned_total", "Orders handed back because they would have started too late.", func(s worker.Stats) int64 { return s.Returned }},
		{"starts_doubtful_total", "Starts without an answer.", func(s worker.Stats) int64 { return s.Unconfirmed }},
		{"runs_lapsed_total", "Runs lost with the lease of a silent backend server.", func(s worker.Stats) int64 { return s.Lapsed }},
		{"ends_voided_total", "Ends that must never count.", func(s worker.Stats) int64 { return s.Voided }},
		{"runs_silenced_total", "Runs stopped because their owner was silent.", func(s worker.Stats) int64 { return s.OwnerTimedOut }},
		{"orders_drained_total", "Orders refused or handed back because the failure domain is drained.", func(s worker.Stats) int64 { return s.Drained }},
		{"capacity_changes_total", "Changes of the backend server's capacity.", func(s worker.Stats) int64 { return s.Resized }},
		{"server_restarts_total", "Starts of the backend server under the ID that it had.", func(s worker.Stats) int64 { return s.Restarted }},
		{"stalls_total", "Times the backend server stood still.", func(s worker.Stats) int64 { return s.Stalled }},
	} {
		opts := prometheus.CounterOpts{Namespace: core.Namespace, Subsystem: "agent", Name: c.name, Help: c.help}
		m.Registry.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return float64(c.value(w.Stats())) }))
	}
}

// registerSpeedMetrics registers the speed of the backend server.
func registerSpeedMetrics(m *core.Metrics, speed func() worker.Speed) {
	for _, g := range []struct {
		name, help string
		value      func(worker.Speed) float64
	}{
		{"server_speed", "How fast the backend server is: 2 is twice as fast as expected, 0 is unknown.", func(s worker.Speed) float64 { return s.Speed }},
		{"server_speed_runs", "Runs that the speed of the backend server rests on.", func(s worker.Speed) float64 { return float64(s.Runs) }},
	} {
		opts := prometheus.GaugeOpts{Namespace: core.Namespace, Subsystem: "agent", Name: g.name, Help: g.help}
		m.Registry.MustRegister(prometheus.NewGaugeFunc(opts, func() float64 { return g.value(speed()) }))
	}
}
