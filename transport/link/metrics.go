package link

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Reason says why a message or a link was refused or lost. It is the value of
// the metrics' reason label.
type Reason string

// Reasons for refusing a message in Send.
const (
	ReasonUnknownPeer Reason = "unknown_peer"
	ReasonNoAddress   Reason = "no_address"
	ReasonQueueFull   Reason = "queue_full"
	ReasonQueueBytes  Reason = "queue_bytes"
	ReasonTotalBytes  Reason = "total_bytes"
	ReasonTooLarge    Reason = "too_large"
	ReasonNoEncoding  Reason = "no_encoding"
	ReasonClosed      Reason = "closed"
)

// Reasons for links that ended or never came up, and for messages lost with them.
const (
	ReasonBroken      Reason = "broken"
	ReasonStalled     Reason = "stalled"
	ReasonReplaced    Reason = "replaced"
	ReasonSuperseded  Reason = "superseded"
	ReasonLeaving     Reason = "leaving"
	ReasonUnreachable Reason = "unreachable"
	ReasonWrongPeer   Reason = "wrong_peer"
	ReasonIdentity    Reason = "identity"
	ReasonBadHello    Reason = "bad_hello"
	ReasonForgotten   Reason = "forgotten"
)

type metrics struct {
	sent, received      *prometheus.CounterVec
	refused, lost       *prometheus.CounterVec
	downs, rejected     *prometheus.CounterVec
	dials               prometheus.Counter
	malformed           prometheus.Counter
	frames, bytes       *prometheus.CounterVec
	sessions            *prometheus.GaugeVec
	queued              prometheus.Gauge
	framesIn, bytesIn   prometheus.Counter
	framesOut, bytesOut prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) (*metrics, error) {
	var all []prometheus.Collector
	vec := func(name, help, label string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "shallotstep_link_" + name, Help: help}, []string{label})
		all = append(all, v)
		return v
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: "shallotstep_link_" + name, Help: help})
		all = append(all, c)
		return c
	}
	m := &metrics{
		sent:      vec("messages_sent_total", "Messages written, by kind.", "kind"),
		received:  vec("messages_received_total", "Messages handled, by kind.", "kind"),
		refused:   vec("messages_refused_total", "Messages that Send refused, by reason.", "reason"),
		lost:      vec("messages_lost_total", "Messages accepted and dropped unwritten, by reason.", "reason"),
		downs:     vec("downs_total", "Peers reported down, by reason.", "reason"),
		rejected:  vec("rejected_total", "Incoming links refused, by reason.", "reason"),
		frames:    vec("frames_total", "Frames, by direction.", "direction"),
		bytes:     vec("bytes_total", "Bytes of messages in wire form, by direction.", "direction"),
		dials:     counter("dials_total", "Dials begun."),
		malformed: counter("malformed_total", "Received messages that failed a check and were skipped."),
		sessions: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "shallotstep_link_sessions", Help: "Links that are up, by the side that dialled."}, []string{"dialled_by"}),
		queued: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "shallotstep_link_queued_bytes", Help: "Bytes waiting for all peers."}),
	}
	m.framesIn, m.framesOut = m.frames.WithLabelValues("in"), m.frames.WithLabelValues("out")
	m.bytesIn, m.bytesOut = m.bytes.WithLabelValues("in"), m.bytes.WithLabelValues("out")
	if reg == nil {
		return m, nil
	}
	for _, c := range append(all, m.sessions, m.queued) {
		if err := reg.Register(c); err != nil {
			return nil, errors.Wrap(err, "register link metrics")
		}
	}
	return m, nil
}

func (m *metrics) sessionCount(dialled bool) prometheus.Gauge {
	if dialled {
		return m.sessions.WithLabelValues("self")
	}
	return m.sessions.WithLabelValues("peer")
}
