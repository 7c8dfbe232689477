package platformlog

import "github.com/prometheus/client_golang/prometheus"

// Results of calls, as metric labels beside the errors' reasons.
const (
	resultOK     = "ok"
	resultEmpty  = "empty"
	resultGone   = "gone"
	resultBeyond = "beyond_end"
)

// metrics counts what the client did and why it tried again.
type metrics struct {
	appends *prometheus.CounterVec
	reads   *prometheus.CounterVec
	retries *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		appends: counter("appends_total", "Appends by result: ok, refused_REASON or unknown_REASON.", "result"),
		reads:   counter("reads_total", "Reads by result: ok, empty, gone, beyond_end or the error's reason.", "result"),
		retries: counter("follow_retries_total", "Reads repeated after a failure, by reason.", "reason"),
	}
}

func counter(name, help, label string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{
		Namespace: "shallotstep",
		Subsystem: "platformlog",
		Name:      name,
		Help:      help,
	}
	return prometheus.NewCounterVec(opts, []string{"stream", label})
}

// Collectors returns the client's metrics for registration.
func (c *Client) Collectors() []prometheus.Collector {
	return []prometheus.Collector{c.metrics.appends, c.metrics.reads, c.metrics.retries}
}
