package agentapi

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// problem is a refusal as RFC 9457 writes it. Nothing behind this interface
// runs a task, so there is no outcome.
type problem struct {
	Title  string       `json:"title"`
	Status int          `json:"status"`
	Detail string       `json:"detail,omitempty"`
	Reason state.Reason `json:"reason"`
}

func writeReply(w http.ResponseWriter, answer reply) {
	body, contentType := answer.body, "application/json"
	if answer.reason != state.ReasonNone {
		contentType = wire.ProblemType
		body = problem{
			Title:  http.StatusText(answer.status),
			Status: answer.status,
			Detail: answer.detail,
			Reason: answer.reason,
		}
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
}

func newMetrics(reg prometheus.Registerer) *metrics {
	return &metrics{requests: promauto.With(reg).NewCounterVec(prometheus.CounterOpts{
		Namespace: "shallotstep", Subsystem: "agentapi", Name: "requests_total",
		Help: "Requests to the agent's own interface, by route and reason of refusal.",
	}, []string{"route", "reason"})}
}

func (m *metrics) count(route string, reason state.Reason) {
	m.requests.WithLabelValues(route, string(reason)).Inc()
}
