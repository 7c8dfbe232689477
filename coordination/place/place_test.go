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
