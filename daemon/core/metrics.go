package core

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

const namespace = "shallotstep"

// latencyBuckets, in seconds, go from an answer on the same host to the longest
// time limit of a request.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// coreMetrics are the counters and histograms of a process.
type coreMetrics struct {
	registry *prometheus.Registry
	// refusals and retries are counted by reason, decisions by their kind.
	refusals      *prometheus.CounterVec
	retries       *prometheus.CounterVec
	decisions     *prometheus.CounterVec
	startRefusals *prometheus.CounterVec
	repeats       prometheus.Counter
	// links counts links that were dialled and retired, linked is how many are wanted.
	links    *prometheus.CounterVec
	linked   prometheus.Gauge
	append   prometheus.Histogram
	start    prometheus.Histogram
	takeover prometheus.Histogram
	submit   prometheus.Histogram
	lookup   prometheus.Histogram
}

func newCoreMetrics() *coreMetrics {
	m := &coreMetrics{
		registry:      prometheus.NewRegistry(),
		refusals:      counter("refusals_total", "Jobs refused or left open, by reason.", "reason"),
		retries:       counter("retries_total", "Questions sent to another owner, by reason.", "reason"),
		decisions:     counter("decisions_total", "Decisions on jobs, by kind.", "kind"),
		startRefusals: counter("start_refusals_total", "Starts that the backend server has not confirmed, by reason.", "reason"),
		repeats: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_repeats_total", Help: "Writes repeated under the same number.",
		}),
		links: counter("link_changes_total", "Agents that were linked and links that were retired.", "change"),
		linked: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "links_wanted", Help: "Agents that this process keeps links to.",
		}),
		append:   histogram("store_append_seconds", "From the first attempt of a write to its confirmation."),
		start:    histogram("start_seconds", "Starts at the backend server."),
		takeover: histogram("takeover_seconds", "From the start of a takeover to its end."),
		submit:   histogram("submit_seconds", "Submissions at the entry."),
		lookup:   histogram("lookup_seconds", "Questions for a job's state at the entry."),
	}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.refusals, m.retries, m.decisions, m.startRefusals, m.repeats, m.links, m.linked, m.append, m.start, m.takeover, m.submit, m.lookup,
		metrics.MalformedCollector())
	return m
}

func counter(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets})
}

// verdict counts what was not accepted.
func (m *coreMetrics) verdict(v owner.Verdict) {
	if v.Outcome == owner.Refused || v.Outcome == owner.Unknown {
		m.refusals.WithLabelValues(v.Reason).Inc()
	}
}

// handler serves the metrics as text.
func (m *coreMetrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// watchFleet registers what placing costs.
func (m *coreMetrics) watchFleet(f *owner.Fleet) {
	opts := prometheus.CounterOpts{Namespace: namespace, Name: "placement_looks_total", Help: "Agents looked at to place tasks."}
	m.registry.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return float64(f.Looks()) }))
}

// watchDrains registers what is known of drained failure domains.
func (m *coreMetrics) watchDrains(b *drains.Book) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "drained_domains", Help: "Failure domains in which nothing is newly started.",
		}, func() float64 { return float64(len(b.State().Domains)) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "drains_age_seconds", Help: "How long ago the store confirmed the drains that are known here.",
		}, func() float64 {
			_, age := b.Latest(bootclock.Now())
			return age.Seconds()
		}))
}
