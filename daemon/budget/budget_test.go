package budget

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/transport/guard"
)

// Guards against parts that together exceed the limits of a process, on small and large hosts.
func TestPartsFitIntoTheLimits(t *testing.T) {
	is := is.New(t)
	for _, l := range []settings.Limits{
		{MemoryMB: 64, MaxFDs: 1000}, {MemoryMB: 128, MaxFDs: 4096}, {MemoryMB: 144, MaxFDs: 3075}, {MemoryMB: 284, MaxFDs: 4100}, {MemoryMB: 1048, MaxFDs: 16384},
	} {
		b, memory := Of(l), int64(l.MemoryMB)*mebibyte
		is.True(b.RuntimeBytes+programBytes <= memory)
		is.True(int64(b.Clients)*guard.ConnBytes+b.RequestBytes+b.JobBytes <= memory*6/10)
		listeners := b.Clients + b.API + b.Ready + b.Metrics
		is.True(listeners+minOwnSockets+reservedFiles <= l.MaxFDs)
		is.True(b.Links+b.Reports+b.Metrics+minOwnSockets+reservedFiles <= l.MaxFDs)
		is.True(b.Clients >= minConns)
	}
}

// Guards against a setting that has no effect, and limits that aren't known.
func TestSettingsReplaceTheParts(t *testing.T) {
	is := is.New(t)
	b := Of(settings.Limits{MemoryMB: 284, MaxFDs: 4100, ClientConnections: 77, RequestMemoryMB: 5})
	is.Equal(b.Clients, 77)
	is.Equal(b.RequestBytes, int64(5*mebibyte))
	b = Of(settings.Limits{})
	is.Equal(b.RuntimeBytes, int64(0))
	is.True(b.Clients >= minConns && b.RequestBytes > 0)
}
