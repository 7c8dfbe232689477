package guard

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/state"
)

// Values of the label role: in which part the guard refused.
const (
	roleHome    = "home"
	roleWitness = "witness"
)

// metrics count what the guard decides.
type metrics struct {
	refusals    *prometheus.CounterVec
	granted     prometheus.Counter
	bars        prometheus.Counter
	askRetries  prometheus.Counter
	pulls       prometheus.Counter
	pullRetries prometheus.Counter
	rosterAsks  prometheus.Counter
	gaps        prometheus.Counter
	badRecords  prometheus.Counter
}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "shallotstep", Subsystem: "guard", Name: name, Help: help,
		})
	}
	return &metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "shallotstep", Subsystem: "guard", Name: "refusals_total",
			Help: "Claims refused, by role and reason.",
		}, []string{"role", "reason"}),
		granted:     counter("grants_total", "Claims granted as home."),
		bars:        counter("bars_total", "Attempts barred."),
		askRetries:  counter("ask_retries_total", "Claims asked again of a silent witness."),
		pulls:       counter("pulls_total", "Shares whose claims were pulled."),
		pullRetries: counter("pull_retries_total", "Pulls that went on to another source."),
		rosterAsks:  counter("roster_asks_total", "Roster records asked of peers."),
		gaps:        counter("roster_gaps_total", "Roster records handed in while earlier ones were missing."),
		badRecords:  counter("roster_bad_records_total", "Roster records that can't be read."),
	}
}

// heldHere labels a claim refused because this agent holds the id itself.
const heldHere = "held_here"

func (m *metrics) refused(role string, reason state.Reason) {
	label := string(reason)
	if label == "" {
		label = heldHere
	}
	m.refusals.WithLabelValues(role, label).Inc()
}

func (m *metrics) all() []prometheus.Collector {
	return []prometheus.Collector{
		m.refusals, m.granted, m.bars, m.askRetries, m.pulls, m.pullRetries, m.rosterAsks, m.gaps, m.badRecords,
	}
}
