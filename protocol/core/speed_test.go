package core

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
)

// Guards against a speed that is lost between an agent and an owner.
func TestSpeedOfLoadIsTranslatedBothWays(t *testing.T) {
	is := is.New(t)
	p := LoadToWire(&worker.Load{Speed: 1.6, SpeedRuns: 120})
	is.True(SpeedIsValid(p))
	l := LoadFromWire(p)
	is.Equal(l.Speed, 1.6)
	is.Equal(l.SpeedRuns, 120)
}

// Guards against a speed that can't be one, which would make an owner place by it.
func TestSpeedThatCannotBeOneCountsAsUnknown(t *testing.T) {
	for name, p := range map[string]*corepb.Load{
		"negative":       {Speed: -1, SpeedRuns: 50},
		"infinite":       {Speed: math.Inf(1), SpeedRuns: 50},
		"minus infinite": {Speed: math.Inf(-1), SpeedRuns: 50},
		"not a number":   {Speed: math.NaN(), SpeedRuns: 50},
		"negative runs":  {Speed: 2, SpeedRuns: -3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(!SpeedIsValid(p))
			l := LoadFromWire(p)
			is.Equal(l.Speed, 0.0)
			is.Equal(l.SpeedRuns, 0)
		})
	}
}

// Guards against a speed without a run behind it, as an agent of an earlier version sends.
func TestSpeedWithoutRunsIsUnknown(t *testing.T) {
	is := is.New(t)
	is.True(SpeedIsValid(&corepb.Load{}))
	is.Equal(LoadFromWire(&corepb.Load{Speed: 2}).Speed, 0.0)
}
