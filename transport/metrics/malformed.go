package metrics

import "github.com/prometheus/client_golang/prometheus"

// Kinds of what comes from other writers and may be malformed.
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
)

// malformed counts what could not be read and was left out. Decoders have no registry
// of their own, so it is one for the process.
var malformed = newMalformed()

func newMalformed() *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "malformed_total", Help: "Reports and records that could not be read and were left out, by kind.",
	}, []string{"kind"})
	for _, kind := range []string{KindReport, KindConfiguration, KindRoute, KindRegistration, KindStoreRecord, KindJobRecord, KindAgents, KindNotes, KindMember, KindDrain} {
		c.WithLabelValues(kind)
	}
	return c
}

// Malformed counts something that could not be read.
func Malformed(kind string) { malformed.WithLabelValues(kind).Inc() }

// MalformedCollector is for the registry of the process.
func MalformedCollector() prometheus.Collector { return malformed }
