package limit

import "github.com/prometheus/client_golang/prometheus"

var (
	admittedDesc = prometheus.NewDesc("shallotstep_limit_admitted_total",
		"Submissions let in at this entry.", nil, nil)
	refusedDesc = prometheus.NewDesc("shallotstep_limit_refused_total",
		"Submissions refused at this entry, by reason.", []string{"reason"}, nil)
	inFlightDesc = prometheus.NewDesc("shallotstep_limit_tasks_in_flight",
		"Tasks let in at this entry and not yet answered.", nil, nil)
	limitDesc = prometheus.NewDesc("shallotstep_limit_tasks",
		"The adaptive limit on tasks in flight at this entry.", nil, nil)
)

// Describe implements prometheus.Collector.
func (l *Limits) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{admittedDesc, refusedDesc, inFlightDesc, limitDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (l *Limits) Collect(ch chan<- prometheus.Metric) {
	s := l.Stats()
	ch <- prometheus.MustNewConstMetric(admittedDesc, prometheus.CounterValue, float64(s.Admitted))
	ch <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(s.InFlight))
	ch <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(s.Limit))
	for reason, n := range s.Refused {
		ch <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(n), string(reason))
	}
}
