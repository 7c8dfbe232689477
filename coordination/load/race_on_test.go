//go:build race

package load

// The race detector makes days ten times as long. With it one is played for races
// alone: a single day says too little for the bounds, which the run without it checks.
const (
	seeds       = 1
	checkBounds = false
)
