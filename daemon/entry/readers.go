package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/coordination/declare"
	"github.com/shallotstep/shallotstep/protocol/api"
)

// readers returns how every process known here reads the declarations.
func (e *Entry) readers(now time.Time) []api.Reader {
	lags := e.machine.Readers(now)
	out := make([]api.Reader, 0, len(lags))
	for i := range lags {
		out = append(out, readerOf(now, &lags[i]))
	}
	return out
}

func readerOf(now time.Time, l *declare.Lag) api.Reader {
	r := api.Reader{
		ID:       l.ID,
		Role:     "agent",
		Heard:    l.Heard(),
		Version:  l.Offset,
		Behind:   l.Behind,
		LagMS:    l.Lag.Milliseconds(),
		Late:     l.Late(),
		Complete: l.Heard() && !l.Incomplete,
	}
	if l.Entry {
		r.Role = roleName
	}
	if l.Heard() {
		r.AgeMS = now.Sub(l.Said).Milliseconds()
	}
	return r
}

// readerGauges counts the processes by how they read the declarations.
func (e *Entry) readerGauges() []prometheus.Collector {
	gauge := func(state string, in func(l *declare.Lag) bool) prometheus.Collector {
		opts := prometheus.GaugeOpts{
			Name:        "shallotstep_declare_processes",
			Help:        "Processes known to this entry by how they read the declarations; one may count in two states.",
			ConstLabels: prometheus.Labels{"state": state},
		}
		return prometheus.NewGaugeFunc(opts, func() float64 {
			count := 0
			readers := e.machine.Readers(time.Now())
			for i := range readers {
				if in(&readers[i]) {
					count++
				}
			}
			return float64(count)
		})
	}
	return []prometheus.Collector{
		gauge("heard", func(l *declare.Lag) bool { return l.Heard() }),
		gauge("unheard", func(l *declare.Lag) bool { return !l.Heard() }),
		gauge("late", func(l *declare.Lag) bool { return l.Late() }),
		gauge("incomplete", func(l *declare.Lag) bool { return l.Incomplete }),
	}
}
