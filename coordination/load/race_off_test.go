//go:build !race

package load

// seeds is the number of days behind each figure.
const seeds = 3
