//go:build !race

package load

// seeds is the number of days behind each figure, judged whether the figures are
// held against their bounds.
const (
	seeds       = 3
	checkBounds = true
)
