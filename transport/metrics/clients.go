package metrics

import "github.com/prometheus/client_golang/prometheus"

// Reasons why the connection of a client was ended; the values of the label reason.
const (
	EndedHeaderTooLarge = "header_too_large"
	EndedHeaderTimeout  = "header_timeout"
	EndedBodyTimeout    = "body_timeout"
	EndedIdle           = "idle"
	EndedUnreadAnswer   = "unread_answer"
	// EndedNoRoom: another client took the place of the connection. EndedRefused: all others were being
	// served.
	EndedNoRoom   = "no_room"
	EndedRefused  = "refused"
	EndedNoMemory = "no_memory"
	EndedStopping = "stopping"
)

// Reasons why an entry refused a request before it asked an owner; the values of the label reason.
const (
	RefusedHeaderTooLarge  = "header_too_large"
	RefusedBodyTooLarge    = "body_too_large"
	RefusedBodyTimeout     = "body_timeout"
	RefusedUnreadable      = "unreadable"
	RefusedMalformed       = "malformed"
	RefusedUnsupported     = "unsupported"
	RefusedNoMemory        = "no_memory"
	RefusedNoConfiguration = "no_configuration"
	RefusedNoQueue         = "no_queue"
	RefusedNoCall          = "no_call"
)

// The counters are global variables because handlers and listeners have no access to a registry.
var (
	endedConnections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "ended_connections_total", Help: "Connections that were ended because of what their clients did, by listener and reason.",
	}, []string{"listener", reasonLabel})
	refusedRequests = newRefusedRequests()
)

func newRefusedRequests() *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "refused_requests_total", Help: "Requests refused before an owner was asked, by reason.",
	}, []string{reasonLabel})
	for _, reason := range []string{
		RefusedHeaderTooLarge, RefusedBodyTooLarge, RefusedBodyTimeout, RefusedUnreadable, RefusedMalformed, RefusedUnsupported,
		RefusedNoMemory, RefusedNoConfiguration, RefusedNoQueue, RefusedNoCall,
	} {
		c.WithLabelValues(reason)
	}
	return c
}

// EndedConnection counts a connection of a listener that was ended.
func EndedConnection(listener, reason string) {
	endedConnections.WithLabelValues(listener, reason).Inc()
}

// RefusedRequest counts a request that was refused before an owner was asked.
func RefusedRequest(reason string) { refusedRequests.WithLabelValues(reason).Inc() }

// ClientCollectors returns the counters of EndedConnection and RefusedRequest, for the registry of the
// process.
func ClientCollectors() []prometheus.Collector {
	return []prometheus.Collector{endedConnections, refusedRequests}
}
