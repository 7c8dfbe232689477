package agentapi

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

func writeReply(w http.ResponseWriter, answer reply) {
	body, contentType := answer.body, api.ContentTypeJSON
	if answer.problem != nil {
		body, contentType = answer.problem, api.ContentTypeProblem
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(answer.status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		klog.V(2).InfoS("Answer not delivered", "err", err)
	}
}

// metrics counts requests by route and reason; an empty reason is a success.
type metrics struct {
	requests *prometheus.CounterVec
	// told is told of each refusal; it may be nil.
	told func(state.Reason)
}

func newMetrics(reg prometheus.Registerer, told func(state.Reason)) *metrics {
	return &metrics{told: told, requests: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
		Namespace: "shallotstep", Subsystem: "agentapi", Name: "requests_total",
		Help: "Requests to the agent's own interface, by route and reason of refusal.",
	}, []string{"route", "reason"})}
}

func (m *metrics) count(route string, answer reply) {
	reason := state.ReasonNone
	if answer.problem != nil {
		reason = answer.problem.Reason
		if m.told != nil {
			m.told(reason)
		}
	}
	m.requests.WithLabelValues(route, string(reason)).Inc()
}
