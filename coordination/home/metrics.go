package home

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/state"
)

// Metrics counts answers, refused placements and repeated messages by reason.
type Metrics struct {
	answers *prometheus.CounterVec
	moves   *prometheus.CounterVec
	resends prometheus.Counter
	asks    prometheus.Counter
	slow    prometheus.Counter
	// handOvers is labelled by what became of an answer.
	handOvers *prometheus.CounterVec
}

// What becomes of stored answers when jobs change their home.
const (
	handOverSent    = "sent"
	handOverGivenUp = "given_up"
	handOverTaken   = "taken"
	handOverRefused = "refused"
)

// NewMetrics returns the counters, registered with r unless it is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstep_home_answers_total", Help: "Jobs answered, by outcome and reason."},
			[]string{"outcome", "reason"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotstep_home_moves_total", Help: "Tasks that an agent refused and that went back to the backlog, by reason."},
			[]string{"reason"}),
		resends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotstep_home_resends_total", Help: "Assigns repeated to an agent that was silent."}),
		asks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotstep_home_asks_total", Help: "Messages that only told an agent of a backlog."}),
	}
	m.slow = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "shallotstep_home_slow_agents_total", Help: "Times that an agent was left out for a while because its tasks ran far longer than elsewhere."})
	m.handOvers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "shallotstep_home_hand_overs_total", Help: "Stored answers sent to a job's new home, given up, and taken or refused from an earlier one."},
		[]string{"event"})
	if r != nil {
		r.MustRegister(m.answers, m.moves, m.resends, m.asks, m.slow, m.handOvers)
	}
	return m
}

func (m *Metrics) answered(o state.Outcome, r state.Reason) {
	m.answers.WithLabelValues(o.String(), string(r)).Inc()
}
func (m *Metrics) moved(r state.Reason) { m.moves.WithLabelValues(string(r)).Inc() }
func (m *Metrics) resent()              { m.resends.Inc() }
func (m *Metrics) asked()               { m.asks.Inc() }
func (m *Metrics) avoidedSlow()         { m.slow.Inc() }
func (m *Metrics) handedOver(e string)  { m.handOvers.WithLabelValues(e).Inc() }
