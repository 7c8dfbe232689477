//go:build race

package load

// seeds is the number of days behind each figure; the race detector makes them
// ten times as long.
const seeds = 1
