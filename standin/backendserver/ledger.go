package backendserver

import (
	"time"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// ledger counts what was started. The server's lock guards it.
type ledger struct {
	starts     map[state.TaskKey]int
	total      int
	current    int
	peak       int
	memory     int64
	peakMemory int64
}

func newLedger() ledger { return ledger{starts: make(map[state.TaskKey]int)} }

func (l *ledger) started(task state.TaskKey, memoryMB int64) {
	l.starts[task]++
	l.total++
	l.current++
	l.memory += memoryMB
	l.peak = max(l.peak, l.current)
	l.peakMemory = max(l.peakMemory, l.memory)
}

func (l *ledger) ended(memoryMB int64) {
	l.current--
	l.memory -= memoryMB
}

// Starts returns how often a task was started.
func (s *Server) Starts(task state.TaskKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.starts[task]
}

// AllStarts returns how often each task was started.
func (s *Server) AllStarts() map[state.TaskKey]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[state.TaskKey]int, len(s.ledger.starts))
	for task, n := range s.ledger.starts {
		out[task] = n
	}
	return out
}

// TotalStarts returns how many starts there were.
func (s *Server) TotalStarts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.total
}

// Running returns how many tasks run now.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.current
}

// Doubles returns the tasks that were started more than once.
func (s *Server) Doubles() []state.TaskKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []state.TaskKey
	for task, n := range s.ledger.starts {
		if n > 1 {
			out = append(out, task)
		}
	}
	return out
}

// PeakConcurrent returns the largest number of tasks that ran at once.
func (s *Server) PeakConcurrent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.peak
}

// PeakMemoryMB returns the most memory that running tasks used at once.
func (s *Server) PeakMemoryMB() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.peakMemory
}

const (
	// usageKept is how many usage lines are kept for readers.
	usageKept = 10_000
	// usageBatch is the most lines of one reply.
	usageBatch = 1000
	// usageInterval is how often running tasks are reported.
	usageInterval = time.Second
)

// usageLog keeps the last usage lines. The server's lock guards it.
type usageLog struct {
	// first is the sequence number of the first line kept.
	first uint64
	lines []timedLine
}

type timedLine struct {
	at   time.Time
	line wire.UsageLine
}

func (u *usageLog) add(now time.Time, line wire.UsageLine) {
	if len(u.lines) == usageKept {
		drop := usageKept / 2
		u.lines = append(u.lines[:0], u.lines[drop:]...)
		u.first += uint64(drop)
	}
	u.lines = append(u.lines, timedLine{at: now, line: line})
}

// since returns the lines after a sequence number that are old enough.
func (u *usageLog) since(seq uint64, before time.Time) wire.UsageReply {
	seq = max(seq, u.first)
	reply := wire.UsageReply{Next: seq, Lines: []wire.UsageLine{}}
	for i := seq - u.first; i < uint64(len(u.lines)) && len(reply.Lines) < usageBatch; i++ {
		if u.lines[i].at.After(before) {
			break
		}
		reply.Lines = append(reply.Lines, u.lines[i].line)
		reply.Next++
	}
	return reply
}
