package declare

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

// metrics counts outcomes and what the upkeep of declarations costs.
type metrics struct {
	applies  *prometheus.CounterVec
	records  *prometheus.CounterVec
	failures *prometheus.CounterVec
	upkeep   *prometheus.CounterVec
	peers    *prometheus.CounterVec
	restores *prometheus.CounterVec
	unread   prometheus.Gauge
}

func newMetrics(r prometheus.Registerer, set *declaration.Set) *metrics {
	m := &metrics{
		applies:  counter("applies_total", "Applies answered, by reason; accepted ones have the reason none.", "reason"),
		records:  counter("records_total", "Records of the declaration stream read, by verdict.", "verdict"),
		failures: counter("append_failures_total", "Failed appends, by kind of record and certainty.", "kind", "failure"),
		upkeep:   counter("refreshes_total", "Refreshes asked for, by result.", "result"),
		peers:    counter("peers_total", "Questions to peers, and what peers' declarations did.", "event"),
		restores: counter("restores_total", "What this node did for restores of the declarations.", "event"),
	}
	m.unread = prometheus.NewGauge(gaugeOpts("unread_seconds",
		"How long ago the stream was last read to its end, as of the last tick. Up to a long poll's length is usual."))
	if r != nil {
		r.MustRegister(m.unread, version(set), m.applies, m.records, m.failures, m.upkeep, m.peers, m.restores, completeness(set), ahead(set))
	}
	return m
}

// completeness is 0 while this node can't judge applies, because it has not seen
// every operator's state in the log. If that lasts on all nodes, nobody writes
// refreshes, and no change is accepted any more.
func completeness(set *declaration.Set) prometheus.Collector {
	opts := gaugeOpts("complete", "1 if this node knows every operator's state from the log and judges applies.")
	return prometheus.NewGaugeFunc(opts, func() float64 {
		if set.Complete() {
			return 1
		}
		return 0
	})
}

// ahead is how many operators' versions are in force here that the log's readers
// don't know: this node slept through a restore, and reports them.
func ahead(set *declaration.Set) prometheus.Collector {
	opts := gaugeOpts("ahead", "Operators with a version in force here that a restore of the declarations did not know.")
	return prometheus.NewGaugeFunc(opts, func() float64 { return float64(len(set.Ahead())) })
}

// version is the last offset read: every version accepted up to it is in force.
func version(set *declaration.Set) prometheus.Collector {
	opts := gaugeOpts("version", "Last offset of the declarations that was read; accepted versions up to it are in force here.")
	return prometheus.NewGaugeFunc(opts, func() float64 { return float64(set.Through()) })
}

func gaugeOpts(name, help string) prometheus.GaugeOpts {
	return prometheus.GaugeOpts{Namespace: "shallotstep", Subsystem: "declare", Name: name, Help: help}
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{
		Namespace: "shallotstep",
		Subsystem: "declare",
		Name:      name,
		Help:      help,
	}
	return prometheus.NewCounterVec(opts, labels)
}

func (m *metrics) settled(reason state.Reason) {
	if reason == state.ReasonNone {
		reason = "none"
	}
	m.applies.WithLabelValues(string(reason)).Inc()
}

func (m *metrics) read(v declaration.Verdict) { m.records.WithLabelValues(v.String()).Inc() }

func (m *metrics) undecodable() { m.records.WithLabelValues("undecodable").Inc() }

func (m *metrics) appendFailed(kind declaration.Kind, f Failure) {
	failure := "refused"
	if f == FailureUnknown {
		failure = "unknown"
	}
	m.failures.WithLabelValues(string(kind), failure).Inc()
}

func (m *metrics) refreshed() { m.upkeep.WithLabelValues("appended").Inc() }

func (m *metrics) refreshTooLarge() { m.upkeep.WithLabelValues("too_large").Inc() }

func (m *metrics) asked(n int) { m.peers.WithLabelValues("asked").Add(float64(n)) }

func (m *metrics) restored(event string) { m.restores.WithLabelValues(event).Inc() }

func (m *metrics) merged(merged bool, err error) {
	event := "known"
	switch {
	case err != nil:
		event = "invalid"
	case merged:
		event = "newer"
	}
	m.peers.WithLabelValues(event).Inc()
}
