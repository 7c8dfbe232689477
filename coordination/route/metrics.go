package route

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/state"
)

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("shallotstep_entry_"+name, help, labels, nil)
}

var (
	endingsDesc = desc("answers_total", "Final answers, by outcome and reason.", "outcome", "reason")
	retriesDesc = desc("retries_total", "Further tries of repeatable requests, by why the one before wasn't enough.", "reason")
	plainDescs  = []struct {
		desc  *prometheus.Desc
		value func(*Stats) uint64
	}{
		{desc("submissions_total", "Submissions taken."), func(s *Stats) uint64 { return s.Submitted }},
		{desc("joined_total", "Submissions that joined one under way at this entry."), func(s *Stats) uint64 { return s.Joined }},
		{desc("hedges_total", "Second tries sent after the p95."), func(s *Stats) uint64 { return s.Hedges }},
		{desc("drops_total", "Drops sent to agents whose try lost."), func(s *Stats) uint64 { return s.Drops }},
		{desc("retry_budget_empty_total", "Retries that the budget did not allow."), func(s *Stats) uint64 { return s.BudgetEmpty }},
		{desc("resent_total", "Repeats of an attempt."), func(s *Stats) uint64 { return s.Resent }},
		{desc("bars_total", "Bars sent to witnesses."), func(s *Stats) uint64 { return s.Bars }},
		{desc("redirects_total", "Questions to a job's holder."), func(s *Stats) uint64 { return s.Redirects }},
		{desc("late_answers_total", "Answers that nobody waited for any more."), func(s *Stats) uint64 { return s.Late }},
		{desc("messages_total", "Messages sent."), func(s *Stats) uint64 { return s.Messages }},
		{desc("wasted_messages_total", "Messages that led to no first start and no first result."), func(s *Stats) uint64 { return s.Wasted }},
	}
)

// allReasons adds the documented reasons that never came up: a series that comes
// into being with its first count hides that count from rates and alerts.
func allReasons(counts map[state.Reason]uint64) map[state.Reason]uint64 {
	out := make(map[state.Reason]uint64)
	for _, reason := range append(state.Reasons(), reasonHedge) {
		out[reason] = counts[reason]
	}
	for reason, n := range counts {
		out[reason] = n
	}
	return out
}

// Describe implements prometheus.Collector.
func (r *Router) Describe(ch chan<- *prometheus.Desc) {
	ch <- endingsDesc
	ch <- retriesDesc
	for _, p := range plainDescs {
		ch <- p.desc
	}
}

// Collect implements prometheus.Collector.
func (r *Router) Collect(ch chan<- prometheus.Metric) {
	s := r.Stats()
	for e, n := range s.Endings {
		ch <- prometheus.MustNewConstMetric(endingsDesc, prometheus.CounterValue, float64(n), e.Outcome.String(), string(e.Reason))
	}
	for reason, n := range allReasons(s.Retries) {
		ch <- prometheus.MustNewConstMetric(retriesDesc, prometheus.CounterValue, float64(n), string(reason))
	}
	for _, p := range plainDescs {
		ch <- prometheus.MustNewConstMetric(p.desc, prometheus.CounterValue, float64(p.value(&s)))
	}
}
