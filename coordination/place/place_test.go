package place

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// One of ten workers fails everything: it is left out. When half of them do,
// it is the tasks rather than the workers, and all of them are used.
func TestEjectionIsCapped(t *testing.T) {
	is := is.New(t)
	loads := make([]state.AgentLoad, 10)
	loads[0].Ejected = true
	usable, override := Usable(loads)
	is.Equal(len(usable), 9)
	is.True(!override)
	for i := range 5 {
		loads[i].Ejected = true
	}
	loads[9].Draining = true
	usable, override = Usable(loads)
	is.Equal(len(usable), 9)
	is.True(override)
}

// One of three workers fails everything at once and so looks free always. The
// share alone would keep it in use, and it would fail most jobs: it is left
// out. Two of three, or one of two, may be the tasks' fault: all are used.
func TestOneOfThreeIsEjected(t *testing.T) {
	is := is.New(t)
	loads := make([]state.AgentLoad, 3)
	loads[0].Ejected = true
	usable, override := Usable(loads)
	is.Equal(len(usable), 2)
	is.True(!override)
	loads[2].Draining = true
	usable, override = Usable(loads)
	is.Equal(len(usable), 2)
	is.True(override)
	loads[2].Draining, loads[1].Ejected = false, true
	usable, override = Usable(loads)
	is.Equal(len(usable), 3)
	is.True(override)
}
