package job

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work that overflows to a negative one, for which there would be room everywhere.
func TestWorkDoesNotOverflow(t *testing.T) {
	is := is.New(t)
	is.Equal(Demand{CPUMillis: 500}.Work(time.Second), 500*time.Millisecond)
	is.Equal(Demand{CPUMillis: MaxFigure}.Work(math.MaxInt64), time.Duration(maxWork))
}
