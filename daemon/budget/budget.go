// Package budget divides the limits of a process between what it does: the connections of each listener,
// the requests in progress, and the rest, which is for links, the store, the backend server and the state
// of jobs.
package budget

import (
	"golang.org/x/sys/unix"

	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/transport/guard"
)

const (
	mebibyte = 1 << 20
	// defaultMemoryMB and defaultFDs are assumed where a limit isn't known.
	defaultMemoryMB = 1024
	defaultFDs      = 1024
	// programBytes is the memory of the program's text and of the C library, which the runtime doesn't
	// count.
	programBytes = 16 * mebibyte
	// reservedFiles is the number of descriptors that the platform keeps for files.
	reservedFiles = 200
	// minOwnSockets is the least number of descriptors for what the process itself connects to.
	minOwnSockets = 64
	// ReadyConns, MetricsConns, APIConns and ReportConns are the connections of the listeners that only
	// the platform, the host's backend server and callers on the host itself use.
	readyConns   = 32
	metricsConns = 16
	apiConns     = 64
	reportConns  = 32
	// minConns is the least number of connections of clients or of links.
	minConns = 16
)

// Budget is what each part of a process may use.
type Budget struct {
	// RuntimeBytes is the soft memory limit of the Go runtime; zero: none.
	RuntimeBytes int64
	// RequestBytes is the memory for requests in progress, beyond what each connection is allowed, and
	// JobBytes that for jobs that have not ended.
	RequestBytes, JobBytes int64
	// The others are connections that may be open at a time, by listener. Clients, API and Ready are
	// those of an entry, Reports and Links those of an agent.
	Clients, API, Ready, Reports, Links, Metrics int
}

// Of returns the budget of a process with the given limits. Limits that aren't known are those of the
// system, or the defaults.
func Of(l settings.Limits) Budget {
	memory, fds := int64(l.MemoryMB)*mebibyte, l.MaxFDs
	if fds == 0 {
		fds = systemFDs()
	}
	b := Budget{API: apiConns, Ready: readyConns, Reports: reportConns, Metrics: metricsConns}
	if memory > 0 {
		b.RuntimeBytes = max(memory-memory/8-programBytes, memory/2)
	} else {
		memory = defaultMemoryMB * mebibyte
	}
	b.RequestBytes = memory / 6
	if l.RequestMemoryMB > 0 {
		b.RequestBytes = int64(l.RequestMemoryMB) * mebibyte
	}
	b.JobBytes = memory / 5
	sockets := fds - reservedFiles
	free := sockets - max(sockets/4, minOwnSockets) - apiConns - readyConns - metricsConns
	b.Clients = max(min(free, int(memory/5/guard.ConnBytes)), minConns)
	if l.ClientConnections > 0 {
		b.Clients = l.ClientConnections
	}
	b.Links = max(sockets/2, minConns)
	return b
}

// systemFDs returns how many descriptors the system lets the process open.
func systemFDs() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultFDs
	}
	return int(min(limit.Cur, 1<<20))
}
