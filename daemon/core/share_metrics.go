package core

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/coordination/shares"
)

// maxShareQueues bounds the values of the label queue. The queues beyond it count as otherQueues.
const (
	maxShareQueues = 32
	otherQueues    = "other"
)

// shareCollector collects the counters of a book of shares. The label domain is that of the callers
// of this process.
type shareCollector struct {
	book *shares.Book
	jobs *prometheus.Desc
}

func newShareCollector(b *shares.Book) *shareCollector {
	name := prometheus.BuildFQName(Namespace, "", "share_jobs_total")
	return &shareCollector{book: b, jobs: prometheus.NewDesc(name,
		"Jobs that asked for capacity, were granted it, or were refused over their share, by queue and callers' failure domain.",
		[]string{"queue", "domain", "what"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *shareCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.jobs }

// Collect implements prometheus.Collector.
func (c *shareCollector) Collect(ch chan<- prometheus.Metric) {
	for _, s := range boundQueues(c.book.Stats()) {
		for _, v := range []struct {
			what  string
			count int64
		}{{"asked", s.Asked}, {"granted", s.Granted}, {"refused", s.Refused}} {
			ch <- prometheus.MustNewConstMetric(c.jobs, prometheus.CounterValue, float64(v.count), s.Queue, c.book.Domain(), v.what)
		}
	}
}

// boundQueues keeps the queues that have asked most and sums the others up.
func boundQueues(stats []shares.QueueStats) []shares.QueueStats {
	if len(stats) <= maxShareQueues {
		return stats
	}
	slices.SortStableFunc(stats, func(a, b shares.QueueStats) int { return cmp.Compare(b.Asked, a.Asked) })
	other := shares.QueueStats{Queue: otherQueues}
	for _, s := range stats[maxShareQueues:] {
		other.Asked, other.Granted, other.Refused = other.Asked+s.Asked, other.Granted+s.Granted, other.Refused+s.Refused
	}
	return append(stats[:maxShareQueues:maxShareQueues], other)
}
