//go:build !race

package load

// seeds is the number of seeds over which each result is averaged. checkBounds says whether the
// tests check the results against their bounds. sizeSeeds is the number of seeds for each size of the
// fleet: the share in time differs by up to 0.04 between two seeds.
const (
	seeds       = 3
	sizeSeeds   = 16
	checkBounds = true
)
