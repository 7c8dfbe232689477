package backendclient

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics counts what the client does, by reason.
type metrics struct {
	runs            *prometheus.CounterVec
	asks            *prometheus.CounterVec
	controlFailures *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	factory := promauto.With(reg)
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return factory.NewCounterVec(prometheus.CounterOpts{
			Namespace: "shallotstep", Subsystem: "backend", Name: name, Help: help,
		}, labels)
	}
	return &metrics{
		runs:            counter("runs_total", "Tries to run a task on the backend server, by verdict and reason.", "verdict", "reason"),
		asks:            counter("asks_total", "Asks about tasks whose answer was lost, by what they brought.", "answer"),
		controlFailures: counter("control_failures_total", "Control calls to the backend server that failed, by call.", "call"),
	}
}

// count counts a result and returns it.
func (m *metrics) count(r Result) Result {
	m.runs.WithLabelValues(r.Verdict.String(), string(r.Reason)).Inc()
	return r
}
