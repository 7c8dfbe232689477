// Package session holds the system tests: they run the two programs as built,
// as separate processes, against stand-ins of the platform's log and of backend
// servers that live in the test's own process. The golden session is in
// testdata; run go test ./test/session -update after a meant change.
package session
