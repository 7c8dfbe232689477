package shares

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxQueues bounds the queues of a service that a Book keeps. Those beyond it aren't limited.
	maxQueues = 2000
	// maxEvents bounds the events that nobody has taken yet.
	maxEvents = 64
)

// Params are the parameters of the shares of a process.
type Params struct {
	// Floor is the part of the capacity that is divided evenly between the queues.
	Floor float64
	// Domain is the failure domain of the process's clients; empty if they may be of any.
	Domain string
}

// Agent is the capacity of an agent that this process may place work at.
type Agent struct {
	Node string
	// Cores is its capacity, Free the part of it that is free, and Placers the number of processes
	// that place work there.
	Cores, Free float64
	Placers     int
}

// Job is a job that asks for capacity.
type Job struct {
	Service, Queue string
	Priority       int
	// Work is its expected work, in time of one core.
	Work time.Duration
	// Returned is set if its client has been refused before.
	Returned bool
}

// Verdict says whether a job is refused because its queue is over its share.
type Verdict struct {
	Refused    bool
	RetryAfter time.Duration
}

// QueueStats counts the jobs of a queue.
type QueueStats struct {
	Queue                   string
	Asked, Granted, Refused int64
}

// Event is the beginning or the end of contention for a service's capacity.
type Event struct {
	Service   string
	Contended bool
	// Asked and Capacity are in cores.
	Asked, Capacity float64
	Shares          []Share
}

// Share is what a queue gets under contention, in cores, of all processes together.
type Share struct {
	Queue, Domain  string
	Asked, Granted float64
}

// Book is what a process knows of the demand for contended capacity.
type Book struct {
	params Params

	mu sync.Mutex
	// All fields below are guarded by mu.

	services map[string]*service
	// agents has what each agent has told of the others' demand.
	agents map[string]news
	events []Event
}

// NewBook returns an empty Book.
func NewBook(p Params) *Book {
	return &Book{params: p, services: make(map[string]*service), agents: make(map[string]news)}
}

// Domain returns the failure domain of the process's clients.
func (b *Book) Domain() string { return b.params.Domain }

// Update replaces what an agent has told of the others' demand for its capacity, and returns the
// number of rows that were invalid and dropped.
func (b *Book) Update(now time.Duration, node string, rows []Demand) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	valid, invalid := validRows(rows)
	b.agents[node] = news{rows: valid, at: now}
	return invalid
}

// Forget removes what an agent has told, because its link is gone.
func (b *Book) Forget(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.agents, node)
}

// Ask counts a job's demand and decides whether it may have contended capacity. agents returns the
// agents that take work of its service.
func (b *Book) Ask(now time.Duration, j Job, agents func(service string) []Agent) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, a := b.accountLocked(j)
	if a == nil {
		return Verdict{}
	}
	size := a.noteAsked(now, j.Work)
	if now-s.dividedAt >= divideInterval {
		b.divideLocked(now, j.Service, s, agents(j.Service))
	}
	if a.sharedAt != s.dividedAt {
		a.sharedAt = s.dividedAt
		a.setShare(now, b.shareLocked(s, a))
	}
	bucket := &a.sizes[size].bucket
	bucket.refill(now)
	if !s.contended || a.mayPass(size, j.Returned) {
		return Verdict{}
	}
	a.stats.Refused++
	return Verdict{Refused: true, RetryAfter: bucket.refuse(j.Work)}
}

// Granted counts a job that was accepted.
func (b *Book) Granted(now time.Duration, j Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, a := b.accountLocked(j)
	if a == nil {
		return
	}
	a.stats.Granted++
	a.sizes[a.sizeOf(j.Work)].charge(j.Work, s.contended)
}

// accountLocked returns the account of a job's queue, or nil if there are too many.
func (b *Book) accountLocked(j Job) (*service, *account) {
	s := b.services[j.Service]
	if s == nil {
		s = &service{accounts: make(map[string]*account), dividedAt: -divideInterval}
		b.services[j.Service] = s
	}
	a := s.accounts[j.Queue]
	if a == nil {
		if len(s.accounts) >= maxQueues {
			s.dropIdle()
		}
		if len(s.accounts) >= maxQueues {
			return s, nil
		}
		a = &account{queue: j.Queue, stats: QueueStats{Queue: j.Queue}, sharedAt: -1, window: rateWindow}
		s.accounts[j.Queue] = a
	}
	a.priority = max(j.Priority, 0)
	return s, a
}

// dropIdle drops the accounts of queues that don't ask for anything any more. They may belong to an
// earlier configuration.
func (s *service) dropIdle() {
	maps.DeleteFunc(s.accounts, func(_ string, a *account) bool {
		return a.asked.value < minAsked
	})
}

// Rows returns what this process asks for of a service, divided over a number of agents. While there
// is room for all, it returns nothing, which costs no bytes.
func (b *Book) Rows(now time.Duration, name string, agents int) []Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	if s == nil || HasRoom(s.freeShare) {
		return nil
	}
	rows := combine(b.ownRowsLocked(now, s))
	for i := range rows {
		rows[i].Asked /= float64(max(agents, 1))
	}
	return rows
}

// Services returns the services that this process has been asked for, sorted.
func (b *Book) Services() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.services))
}

// TakeEvents returns the beginnings and ends of contention since the last call.
func (b *Book) TakeEvents() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.events
	b.events = nil
	return out
}

// Stats returns the counters of all queues, sorted by name.
func (b *Book) Stats() []QueueStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := make(map[string]QueueStats)
	for _, s := range b.services {
		for _, a := range s.accounts {
			t := sum[a.queue]
			sum[a.queue] = QueueStats{a.queue, t.Asked + a.stats.Asked, t.Granted + a.stats.Granted, t.Refused + a.stats.Refused}
		}
	}
	return slices.SortedFunc(maps.Values(sum), func(a, b QueueStats) int { return strings.Compare(a.Queue, b.Queue) })
}
