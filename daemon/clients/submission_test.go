package clients

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/declaration"
)

// Guards against using a declaration's priority, of which 100 is the highest, directly as a
// queue priority, of which 0 is the highest. The default would then be 50 steps behind the
// first, and every job that can't start immediately would be refused.
func TestOperatorsPriority(t *testing.T) {
	is := is.New(t)
	is.Equal(queuePriority(declaration.MaxPriority), 0)
	is.Equal(queuePriority(declaration.DefaultPriority), 0)
	is.Equal(queuePriority(declaration.DefaultPriority-1), 1)
	is.Equal(queuePriority(1), 2)
}
