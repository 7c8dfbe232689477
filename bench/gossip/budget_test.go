package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// What a daemon may spend on bytes, and how soon a drain must be known.
const (
	budget       = 13.0 // KB/s
	nearlyBefore = 2 * time.Second
	allBefore    = 5 * time.Second
)

// A backend server leaves. Until an agent knows, it sends tasks there in vain; a
// lost message must not leave one in ignorance until its next page, and the
// news must not cost the busiest agent more than its budget.
func TestDrainIsKnownWithinTheBudget(t *testing.T) {
	is := is.New(t)
	defer func(l float64, s time.Duration) { *loss, *steady = l, s }(*loss, *steady)
	*steady = 5 * time.Second
	var built way
	for _, w := range ways {
		if w.name == "chosen" {
			built = w
		}
	}
	for _, part := range []float64{0, 0.1} {
		*loss = part
		r := measure(built, fleet{agents: 60, regions: 1, domains: 2})
		is.True(r.peak > 0 && r.peak <= budget)
		is.True(r.nearly <= nearlyBefore)
		is.True(r.all <= allBefore)
	}
}
