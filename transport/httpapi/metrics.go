package httpapi

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/state"
)

// metrics counts exchanges. Routes and reasons are fixed sets, so that no
// caller can make the number of series grow.
type metrics struct {
	requests    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	disconnects *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	// told is told of each refusal; it may be nil.
	onRefusal func(state.Reason)
}

func newMetrics(r prometheus.Registerer, onRefusal func(state.Reason)) *metrics {
	m := &metrics{
		onRefusal: onRefusal,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstep_http_requests_total",
			Help: "HTTP requests answered, by route and status code.",
		}, []string{"route", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstep_http_refusals_total",
			Help: "Problem documents sent, by route, reason and outcome.",
		}, []string{"route", "reason", "outcome"}),
		disconnects: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstep_http_disconnects_total",
			Help: "Callers that went away before their answer, by route.",
		}, []string{"route"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "shallotstep_http_request_seconds",
			Help:    "Time from a request's header to its answer, by route.",
			Buckets: prometheus.ExponentialBuckets(bucketStart, bucketFactor, bucketCount),
		}, []string{"route"}),
	}
	r.MustRegister(m.requests, m.refusals, m.disconnects, m.duration)
	return m
}

// The histogram reaches from 1 ms to 32 s, which holds the shortest status
// question and the longest ordinary job.
const (
	bucketStart  = 0.001
	bucketFactor = 2
	bucketCount  = 16
)

func (m *metrics) answered(route string, status int, took time.Duration) {
	m.requests.WithLabelValues(route, strconv.Itoa(status)).Inc()
	m.duration.WithLabelValues(route).Observe(took.Seconds())
}

func (m *metrics) refused(route string, reason state.Reason, outcome state.Outcome) {
	m.refusals.WithLabelValues(route, string(reason), outcome.String()).Inc()
	if m.onRefusal != nil {
		m.onRefusal(reason)
	}
}
