package state

import "time"

// Backend is what a backend server announces of itself to the agent beside it.
type Backend struct {
	// ID names the backend server; a restarted one announces another ID.
	ID string
	// URL is the base URL of its task interface, http or https.
	URL      string
	Services []string
	// Slots is how many tasks it runs at once.
	Slots int
	// Connections is how many connections it accepts at once.
	Connections int
	// Cores, MemoryMB and Accelerators are the size of its worker.
	Cores        float64
	MemoryMB     int64
	Accelerators int64
	// TTL is how long the announcement holds unless renewed.
	TTL time.Duration
}

// Usage is one line of a backend server's usage report. Reports lag behind.
type Usage struct {
	Task         TaskKey
	Cores        float64
	MemoryMB     int64
	Accelerators int64
	// Ran is the run time so far, or the whole run time when Done.
	Ran  time.Duration
	Done bool
}
