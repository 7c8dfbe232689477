//go:build race

package load

// With the race detector a simulation takes ten times as long. Only one seed is then run, to find
// data races: the result of a single seed varies too much to check the bounds, which is done
// without the race detector.
const (
	seeds       = 1
	sizeSeeds   = 2
	checkBounds = false
)
