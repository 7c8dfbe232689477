package metrics

import "github.com/prometheus/client_golang/prometheus"

// Kinds of input from other processes that may be malformed; the values of the label kind.
const (
	KindReport        = "report"
	KindConfiguration = "configuration"
	KindRoute         = "route"
	KindRegistration  = "registration"
	KindStoreRecord   = "store_record"
	KindJobRecord     = "job_record"
	KindAgents        = "agents"
	KindNotes         = "notes"
	KindMember        = "member"
	KindDrain         = "drain"
	KindDemand        = "demand"
	KindSnapshot      = "snapshot"
	KindSpeed         = "speed"
)

// malformed counts input that could not be decoded and was ignored. It is a global variable
// because decoders have no access to a registry.
var malformed = newMalformed()

func newMalformed() *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "malformed_total", Help: "Reports and records that could not be read and were left out, by kind.",
	}, []string{"kind"})
	for _, kind := range []string{KindReport, KindConfiguration, KindRoute, KindRegistration, KindStoreRecord, KindJobRecord, KindAgents, KindNotes, KindMember, KindDrain, KindDemand, KindSnapshot, KindSpeed} {
		c.WithLabelValues(kind)
	}
	return c
}

// Malformed counts input of a kind that could not be decoded.
func Malformed(kind string) { malformed.WithLabelValues(kind).Inc() }

// MalformedCollector returns the counter of Malformed, for the registry of the process.
func MalformedCollector() prometheus.Collector { return malformed }
