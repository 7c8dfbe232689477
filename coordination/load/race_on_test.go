//go:build race

package load

// With the race detector a simulated day takes ten times as long. One day is then run to find data
// races only: a single day is too little to check the bounds, which is done without the race
// detector.
const (
	seeds       = 1
	checkBounds = false
)
