//go:build race

package model

// raceDetector tells that the race detector is on, with which worlds take ten times as
// long.
const raceDetector = true
