package guard

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
)

// Stats is what a guard holds at present.
type Stats struct {
	// Claims is what the claim table holds.
	Claims claim.Size
	// Asks is how many claims wait for a witness.
	Asks int
	// Closed is how many denied or barred attempts are remembered.
	Closed int
	// Fences is how many ids have a fence.
	Fences int
	// Guarded is how many shares this agent is home or witness of. Incomplete
	// is how many of them it lacks claims of.
	Guarded    int
	Incomplete int
	// Gaps is how many epochs of all shares this agent lacks the claims of.
	Gaps int
	// Handing is how many shares a leaving agent has still to hand over.
	Handing int
	// Offset is the last roster record read.
	Offset int64
	// Fresh is when the log is known to have ended there, the start at least.
	Fresh time.Time
}

// Stats counts what the guard holds, each share under its lock in turn.
func (g *Guard) Stats() Stats {
	st := Stats{
		Claims:  g.claims.Size(),
		Handing: g.active.handing(),
		Offset:  g.roster.Load().Offset(),
	}
	for i := range g.shares {
		g.shares[i].count(g.self, &st)
	}
	g.news.mu.Lock()
	st.Fresh = g.news.freshLocked()
	g.news.mu.Unlock()
	return st
}

func (s *share) count(self state.NodeID, st *Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Asks += len(s.asks)
	st.Closed += len(s.closed)
	st.Fences += len(s.fences)
	st.Gaps += len(s.gaps)
	if !s.guards(self) {
		return
	}
	st.Guarded++
	if !s.complete() {
		st.Incomplete++
	}
}

// The gauges read from Stats when metrics are collected.
var (
	claimsDesc     = gaugeDesc("claims", "Claims recorded.")
	bytesDesc      = gaugeDesc("claim_bytes", "Memory of the recorded claims, in bytes.")
	asksDesc       = gaugeDesc("asks", "Claims that wait for a witness.")
	closedDesc     = gaugeDesc("closed_attempts", "Denied and barred attempts remembered.")
	guardedDesc    = gaugeDesc("guarded_shares", "Shares this agent is home or witness of.")
	incompleteDesc = gaugeDesc("incomplete_shares", "Guarded shares of which claims are missing.")
	gapsDesc       = gaugeDesc("missed_epochs", "Epochs of shares whose claims this agent lacks.")
	handingDesc    = gaugeDesc("handover_shares", "Shares still to be handed over before exit.")
	offsetDesc     = gaugeDesc("roster_offset", "Offset of the last roster record read.")
	freshDesc      = gaugeDesc("log_fresh_seconds", "When the log was last known to end there, in Unix seconds.")
)

func gaugeDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName("shallotstep", "guard", name), help, nil, nil)
}

// Describe implements prometheus.Collector.
func (g *Guard) Describe(ch chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(g, ch)
}

// Collect implements prometheus.Collector.
func (g *Guard) Collect(ch chan<- prometheus.Metric) {
	for _, c := range g.metrics.all() {
		c.Collect(ch)
	}
	st := g.Stats()
	gauge := func(d *prometheus.Desc, v float64) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v)
	}
	gauge(claimsDesc, float64(st.Claims.Claims))
	gauge(bytesDesc, float64(st.Claims.Bytes))
	gauge(asksDesc, float64(st.Asks))
	gauge(closedDesc, float64(st.Closed))
	gauge(guardedDesc, float64(st.Guarded))
	gauge(incompleteDesc, float64(st.Incomplete))
	gauge(gapsDesc, float64(st.Gaps))
	gauge(handingDesc, float64(st.Handing))
	gauge(offsetDesc, float64(st.Offset))
	gauge(freshDesc, float64(st.Fresh.UnixNano())/float64(time.Second))
}
