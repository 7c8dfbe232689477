//go:build !race

package load

// seeds is the number of seeds over which each result is averaged. checkBounds says whether the
// tests check the results against their bounds.
const (
	seeds       = 3
	checkBounds = true
)
