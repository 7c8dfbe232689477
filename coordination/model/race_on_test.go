//go:build race

package model

// raceDetector reports whether the race detector is on. A world then takes ten times as long.
const raceDetector = true
