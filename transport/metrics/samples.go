package metrics

import "github.com/prometheus/client_golang/prometheus"

// Sample is one number of a machine's Stats.
type Sample struct {
	// Name is the metric's name without namespace and subsystem. That of a
	// counter ends in _total.
	Name    string
	Help    string
	Counter bool
	Value   float64
}

// Gauge returns a sample that goes up and down.
func Gauge[T int | int64 | float64](name, help string, value T) Sample {
	return Sample{Name: name, Help: help, Value: float64(value)}
}

// Counter returns a sample that only grows.
func Counter[T int | int64 | uint64](name, help string, value T) Sample {
	return Sample{Name: name, Help: help, Counter: true, Value: float64(value)}
}

// Bool returns a gauge that is 1 for true.
func Bool(name, help string, value bool) Sample {
	if value {
		return Gauge(name, help, 1)
	}
	return Gauge(name, help, 0)
}

// Watch registers the samples of a machine. Read is called once for each look at
// the metrics, so that the numbers of one look belong together, and must return
// the same names each time.
func (m *Metrics) Watch(subsystem string, read func() []Sample) {
	c := &sampleCollector{read: read}
	for _, s := range read() {
		name := prometheus.BuildFQName(namespace, subsystem, s.Name)
		c.descs = append(c.descs, prometheus.NewDesc(name, s.Help, nil, nil))
	}
	m.Registry.MustRegister(c)
}

type sampleCollector struct {
	read  func() []Sample
	descs []*prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *sampleCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.descs {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *sampleCollector) Collect(out chan<- prometheus.Metric) {
	samples := c.read()
	for i, desc := range c.descs[:min(len(c.descs), len(samples))] {
		kind := prometheus.GaugeValue
		if samples[i].Counter {
			kind = prometheus.CounterValue
		}
		out <- prometheus.MustNewConstMetric(desc, kind, samples[i].Value)
	}
}
