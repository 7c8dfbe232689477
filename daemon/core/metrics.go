package core

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/shares"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// Namespace is the prefix of all metric names.
const Namespace = "shallotstep"

// latencyBuckets holds the upper bounds of the histograms, in seconds. They range from a response
// on the same host to the longest time limit of a request.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// Metrics holds the counters, gauges and histograms of a process.
type Metrics struct {
	Registry *prometheus.Registry
	// refusals, Retries and StartRefusals are labelled by reason, decisions by kind.
	refusals      *prometheus.CounterVec
	Retries       *prometheus.CounterVec
	decisions     *prometheus.CounterVec
	StartRefusals *prometheus.CounterVec
	StoreRepeats  prometheus.Counter
	// UnverifiedShards counts how often another agent may have owned a shard that is open here.
	UnverifiedShards prometheus.Counter
	// refusedBesideRoom is labelled by reason.
	refusedBesideRoom *prometheus.CounterVec
	// storeCalls is labelled by verb and purpose.
	storeCalls *prometheus.CounterVec
	// linkChanges counts dialled and retired links, linksWanted is the number of wanted ones.
	linkChanges *prometheus.CounterVec
	linksWanted prometheus.Gauge
	// peerAnswers is labelled by what became of the answer, firstJob by where the configuration
	// came from.
	peerAnswers *prometheus.CounterVec
	firstJob    *prometheus.GaugeVec
	Append      prometheus.Histogram
	Start       prometheus.Histogram
	Takeover    prometheus.Histogram
	Submit      prometheus.Histogram
	Lookup      prometheus.Histogram
}

// NewMetrics returns metrics in a new registry, with the collectors of the Go runtime and of the
// process.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry:      prometheus.NewRegistry(),
		refusals:      counter("refusals_total", "Jobs refused or left open, by reason.", "reason"),
		Retries:       counter("retries_total", "Questions sent to another owner, by reason.", "reason"),
		decisions:     counter("decisions_total", "Decisions on jobs, by kind.", "kind"),
		StartRefusals: counter("start_refusals_total", "Starts that the backend server has not confirmed, by reason.", "reason"),
		storeCalls:    counter("store_calls_total", "Calls to the store, by verb and purpose.", "verb", "purpose"),
		refusedBesideRoom: counter("refusals_beside_room_total",
			"Jobs refused while servers on which they would be in time were estimated to have room, by reason. Only counted while speeds differ.", "reason"),
		StoreRepeats: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: Namespace, Name: "store_repeats_total", Help: "Writes repeated under the same number.",
		}),
		UnverifiedShards: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: Namespace, Name: "unverified_shards_total", Help: "Open shards that another agent may have owned in between.",
		}),
		linkChanges: counter("link_changes_total", "Agents that were linked and links that were retired.", "change"),
		linksWanted: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: Namespace, Name: "links_wanted", Help: "Agents that this process keeps links to.",
		}),
		peerAnswers: counter("peer_answers_total", "Answers of peers to an entry that starts without the store, by what became of them.", "result"),
		firstJob: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: Namespace, Name: "first_job_seconds", Help: "From the start of the process to the first job that was served, by where the configuration came from.",
		}, []string{"configuration"}),
		Append:   histogram("store_append_seconds", "From the first attempt of a write to its confirmation."),
		Start:    histogram("start_seconds", "Starts at the backend server."),
		Takeover: histogram("takeover_seconds", "From the start of a takeover to its end."),
		Submit:   histogram("submit_seconds", "Submissions at the entry."),
		Lookup:   histogram("lookup_seconds", "Questions for a job's state at the entry."),
	}
	m.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.refusals, m.Retries, m.decisions, m.StartRefusals, m.StoreRepeats, m.UnverifiedShards, m.refusedBesideRoom, m.storeCalls, m.linkChanges, m.linksWanted, m.peerAnswers, m.firstJob, m.Append, m.Start, m.Takeover, m.Submit, m.Lookup,
		metrics.MalformedCollector())
	m.Registry.MustRegister(metrics.ClientCollectors()...)
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: latencyBuckets})
}

// CountResponse counts a response that refuses a job or leaves its outcome unknown, by reason.
func (m *Metrics) CountResponse(v owner.Response) {
	if v.Outcome == owner.Refused || v.Outcome == owner.Unknown {
		m.refusals.WithLabelValues(v.Reason).Inc()
	}
}

// CountPeerAnswer counts what became of the answer of a peer that was asked in place of the store.
func (m *Metrics) CountPeerAnswer(result string) { m.peerAnswers.WithLabelValues(result).Inc() }

// RecordFirstJob records how long after the start of the process the first job was served, and
// where the configuration came from.
func (m *Metrics) RecordFirstJob(configuration string, d time.Duration) {
	m.firstJob.WithLabelValues(configuration).Set(d.Seconds())
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
}

// WatchFleet registers the number of agents that were examined to place tasks, and the placements by
// tier.
func (m *Metrics) WatchFleet(f *owner.Fleet) {
	opts := prometheus.CounterOpts{Namespace: Namespace, Name: "placement_looks_total", Help: "Agents looked at to place tasks."}
	m.Registry.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return float64(f.AgentsExamined()) }))
	for tier := range f.PlacementsByTier() {
		m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: Namespace, Name: "speed_placements_total", Help: "Tasks placed while the servers' speeds differ, by tier.",
			ConstLabels: prometheus.Labels{"tier": tier},
		}, func() float64 { return float64(f.PlacementsByTier()[tier]) }))
	}
}

// WatchShares registers the jobs of each queue that asked for capacity, were granted it, and were
// refused over the queue's share. A nil book registers nothing.
func (m *Metrics) WatchShares(b *shares.Book) {
	if b != nil {
		m.Registry.MustRegister(newShareCollector(b))
	}
}

// WatchDrains registers the number of drained failure domains and the age of the drain state.
func (m *Metrics) WatchDrains(w *DrainWatch) {
	m.Registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: Namespace, Name: "drained_domains", Help: "Failure domains in which nothing is newly started.",
		}, func() float64 { return float64(len(w.State().Domains)) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: Namespace, Name: "drains_age_seconds", Help: "How long ago the store confirmed the drains that are known here.",
		}, func() float64 {
			return w.Age(bootclock.Now()).Seconds()
		}))
}
