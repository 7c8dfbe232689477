package core

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/store"
)

// Guards against processes that end, stop following the registry, or count with figures that overflow, because
// of one odd registration.
func TestOddRegistrationIsSkipped(t *testing.T) {
	nested := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
	offer := func(capacity string) string {
		return `{"links":"127.0.0.1:9","offer":{"service":"desk","capacity":` + capacity + `}}`
	}
	for name, value := range map[string]string{
		"nested":                nested,
		"nested field":          `{"links":"127.0.0.1:9","zone":` + nested + `}`,
		"nested unknown field":  `{"links":"127.0.0.1:9","more":` + nested + `}`,
		"port out of range":     `{"links":"127.0.0.1:65536"}`,
		"port past int64":       `{"links":"127.0.0.1:9223372036854775808"}`,
		"port below zero":       `{"links":"127.0.0.1:-1"}`,
		"no port":               `{"links":"127.0.0.1:0"}`,
		"number past int64":     offer(`{"CPUMillis":9223372036854775808}`),
		"number past float64":   offer(`{"CPUMillis":1e400}`),
		"CPU at the end":        offer(`{"CPUMillis":9223372036854775807}`),
		"memory at the end":     offer(`{"CPUMillis":1,"MemoryMB":9223372036854775807}`),
		"accelerators negative": offer(`{"CPUMillis":1,"GPUs":-1}`),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLinkSet(0, nil, nil, NewMetrics(), nil)
			good := store.Record{Key: "b", Value: []byte(offer(`{"CPUMillis":1000,"MemoryMB":64}`))}
			for _, r := range []store.Record{{Key: "a", Value: []byte(value)}, good} {
				l.applyRecord(r)
			}
			is.Equal(len(l.known), 1)
			is.Equal(len(l.RegisteredCapacities("desk")), 1)
			told := NewLinkSet(0, nil, nil, NewMetrics(), nil)
			told.applyTold([]store.Record{{Key: "a", Value: []byte(value)}, good})
			is.Equal(len(told.known), 1)
		})
	}
}
