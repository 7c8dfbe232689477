package clients

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/declaration"
)

// The declaration's scale goes up to 100, and a queue's begins with 0. Taken for a
// queue's, the default was 50 steps behind the first: each job was refused that could
// not start at once.
func TestOperatorsPriority(t *testing.T) {
	is := is.New(t)
	is.Equal(stepsBelowDefault(declaration.MaxPriority), 0)
	is.Equal(stepsBelowDefault(declaration.DefaultPriority), 0)
	is.Equal(stepsBelowDefault(declaration.DefaultPriority-1), 1)
	is.Equal(stepsBelowDefault(1), 2)
}
