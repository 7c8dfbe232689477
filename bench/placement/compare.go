package main

import (
	"fmt"
	"strconv"

	"github.com/shallotstep/shallotstep/state"
)

// summary is what one way came to over several seeds: the means of the seeds'
// figures.
type summary struct {
	way            string
	seeds          int
	p50, p99, mean float64 // response over ideal
	packed99       float64 // response over the ideal packing
	messages       float64 // per start
	wasted         float64 // per start
	counted        float64 // per start
	waste          waste   // sum over the seeds
	starts, failed int
	worst99        float64
}

func (m *summary) add(r *result) {
	m.seeds++
	old, n := float64(m.seeds-1), float64(m.seeds)
	put := func(to *float64, x float64) { *to = (*to*old + x) / n }
	per := float64(max(1, r.starts))
	put(&m.p50, quantile(r.slow, 0.5))
	put(&m.p99, quantile(r.slow, 0.99))
	put(&m.mean, meanOf(r.slow))
	put(&m.packed99, quantile(r.packed, 0.99))
	put(&m.messages, float64(r.messages)/per)
	put(&m.wasted, float64(r.waste.total())/per)
	put(&m.counted, float64(r.counted)/per)
	m.worst99 = max(m.worst99, quantile(r.slow, 0.99))
	for c := range m.waste {
		m.waste[c] += r.waste[c]
	}
	m.starts += r.starts
	m.failed += r.failed
}

func meanOf(all []float64) float64 {
	sum := 0.0
	for _, x := range all {
		sum += x
	}
	return sum / float64(max(1, len(all)))
}

func (m *summary) line(name string) string {
	return fmt.Sprintf("%-30s over ideal p50 %.2f p99 %.2f (worst seed %.2f) mean %.3f | over packing p99 %.2f | msgs %.2f wasted %.3f (%s) counted %.3f | failed %d | %d seeds",
		name, m.p50, m.p99, m.worst99, m.mean, m.packed99, m.messages, m.wasted, m.waste.perStart(m.starts), m.counted, m.failed, m.seeds)
}

// against gives ours as a ratio to another way.
func (m *summary) against(other *summary) string {
	return fmt.Sprintf("    ours to %-10s p50 %s p99 %s mean %s wasted %s messages %s, failed %d to %d", other.way,
		ratio(m.p50, other.p50), ratio(m.p99, other.p99), ratio(m.mean, other.mean),
		ratio(m.wasted, other.wasted), ratio(m.messages, other.messages), m.failed, other.failed)
}

func ratio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return strconv.FormatFloat(a/b, 'f', 3, 64)
}

// runPacked has the all-knowing queue as a way of its own. It needs no messages
// that could be wasted.
func runPacked(c *config) *result {
	jobs := plan(c)
	r := &result{answers: make([]answered, len(jobs))}
	for i, took := range packed(c, jobs) {
		r.answers[i] = answered{jobs[i].at + took, state.Complete}
		r.starts += len(jobs[i].tasks)
		r.addJob(&jobs[i], took, took)
	}
	r.sort()
	return r
}
