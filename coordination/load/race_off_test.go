//go:build !race

package load

// seeds is the number of simulated days behind each figure. checkBounds says whether the tests
// check the figures against their bounds.
const (
	seeds       = 3
	checkBounds = true
)
