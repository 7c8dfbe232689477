package defaults

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A negative limit means "none" to some options and nothing to others: taken for
// the wrong one, a queue that an operator has switched off comes back.
func TestNegativeStaysOnlyWhereItMeansSomething(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ value, positive, zero time.Duration }{
		{-1, 5, -1}, {0, 5, 5}, {3, 3, 3},
	} {
		p, z := c.value, c.value
		Positive(&p, 5)
		Zero(&z, 5)
		is.Equal(p, c.positive)
		is.Equal(z, c.zero)
	}
	parts := [2]int{}
	Zero(&parts, [2]int{1, 2})
	is.Equal(parts, [2]int{1, 2})
}
