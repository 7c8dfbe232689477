// Package model holds only tests. They run the state machines of packages owner and worker
// together in a simulated system with random faults, and check that the tests fail if any one
// safeguard is disabled.
package model
