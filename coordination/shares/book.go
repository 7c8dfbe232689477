package shares

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// divideInterval is the interval between two divisions of a service's capacity. It is shorter
	// than demand takes to pass between two processes.
	divideInterval = 50 * time.Millisecond
	// Capacity is contended from a demand of contendedShare of it on, while less than contendedFree
	// of it is free, and until the demand is below uncontendedShare or uncontendedFree is free.
	// Demand rests on estimates, so what is free decides too.
	contendedShare, uncontendedShare = 0.9, 0.8
	contendedFree, uncontendedFree   = 0.2, 0.3
	// targetFree is the part of contended capacity that is kept free for jobs under their share,
	// whose slack may be shorter than the next running task takes to end.
	targetFree = 0.06
	// scaleGain is how fast the part of the capacity that is divided follows what is free, for each
	// division: after a tenth more than targetFree was free for half a second, four tenths more are
	// divided. Estimates are made up for within a second, about as long as the longest tasks take.
	scaleGain = 0.35
	// minScale and maxScale bound that part: estimates of work are off by less than a factor of 2.
	minScale, maxScale = 0.5, 2
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

// service is the division of one service's capacity. Guarded by Book.mu.
type service struct {
	accounts  map[string]*account
	dividedAt time.Duration
	contended bool
	// capacity is what is divided, in cores, and scale its ratio to the capacity of the agents.
	capacity, scale float64
	// queues has the demand by queue, sorted by name, division the division of the capacity between
	// them, and domains the demand of each queue by domain.
	queues   []Demand
	division *division
	domains  map[string][]Demand
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
	a.granted.add(now, j.Work)
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
		a = &account{queue: j.Queue, stats: QueueStats{Queue: j.Queue}, sharedAt: -1}
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

// Rows returns what this process asks for of a service, divided over a number of agents.
func (b *Book) Rows(now time.Duration, name string, agents int) []Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	if s == nil {
		return nil
	}
	rows := combine(b.ownRowsLocked(now, s))
	for i := range rows {
		rows[i].Asked /= float64(max(agents, 1))
		rows[i].Granted /= float64(max(agents, 1))
	}
	return rows
}

func (b *Book) ownRowsLocked(now time.Duration, s *service) []Demand {
	rows := make([]Demand, 0, len(s.accounts))
	for _, a := range s.accounts {
		rows = append(rows, Demand{Queue: a.queue, Domain: b.params.Domain, Priority: a.priority, Queues: 1, Asked: a.asked.decay(now), Granted: a.granted.decay(now)})
	}
	return rows
}

// divideLocked divides the capacity of a service between all demand that is known.
func (b *Book) divideLocked(now time.Duration, name string, s *service, agents []Agent) {
	s.dividedAt = now
	rows, capacity, freeShare := b.knownLocked(now, s, agents)
	s.collect(rows)
	var asked float64
	for i := range s.queues {
		asked += s.queues[i].Asked
	}
	was := s.contended
	s.contended = isContended(was, asked, capacity, freeShare)
	s.rescale(was, freeShare)
	s.capacity = s.scale * capacity
	claims := make([]Claim, len(s.queues))
	for i, w := range weights(b.params.Floor, s.queues) {
		claims[i] = Claim{Weight: w, Asked: s.queues[i].Asked}
	}
	s.division = newDivision(s.capacity, claims)
	if s.contended != was && len(b.events) < maxEvents {
		b.events = append(b.events, Event{Service: name, Contended: s.contended, Asked: asked, Capacity: capacity, Shares: s.shares()})
	}
}

// knownLocked returns the demand that is known, the capacity that it competes for, and the part of
// it that is free. Of an agent without news, this process counts on its own part only.
func (b *Book) knownLocked(now time.Duration, s *service, agents []Agent) (rows []Demand, capacity, freeShare float64) {
	rows = b.ownRowsLocked(now, s)
	var cores, free float64
	for _, a := range agents {
		cores += a.Cores
		free += a.Free
		n, ok := b.agents[a.Node]
		if !ok || now-n.at >= NewsTimeout {
			capacity += a.Cores / float64(max(a.Placers, 1))
			continue
		}
		capacity += a.Cores
		rows = append(rows, n.rows...)
	}
	if cores > 0 {
		freeShare = free / cores
	}
	return rows, capacity, freeShare
}

func isContended(was bool, asked, capacity, freeShare float64) bool {
	if was {
		return asked >= uncontendedShare*capacity && freeShare < uncontendedFree
	}
	return capacity > 0 && asked >= contendedShare*capacity && freeShare < contendedFree
}

// rescale makes up for estimates that are off: if more than targetFree stays free, more is divided.
// What was learned is kept until the next contention.
func (s *service) rescale(wasContended bool, freeShare float64) {
	if s.scale == 0 {
		s.scale = 1
	}
	if !wasContended || !s.contended {
		return
	}
	s.scale = min(max(s.scale*(1+scaleGain*(freeShare-targetFree)), minScale), maxScale)
}

// collect sums rows by queue and by domain. It drops queues that ask for nothing.
func (s *service) collect(rows []Demand) {
	slices.SortFunc(rows, compareDemands)
	s.queues, s.domains = nil, make(map[string][]Demand)
	for _, d := range rows {
		if d.Asked < minAsked {
			continue
		}
		if n := len(s.queues); n > 0 && s.queues[n-1].Queue == d.Queue {
			q := &s.queues[n-1]
			q.Asked, q.Granted = q.Asked+d.Asked, q.Granted+d.Granted
			q.Priority, q.Queues = min(q.Priority, d.Priority), max(q.Queues, d.Queues)
		} else {
			s.queues = append(s.queues, d)
		}
		list := s.domains[d.Queue]
		if n := len(list); n > 0 && list[n-1].Domain == d.Domain {
			list[n-1].Asked += d.Asked
			list[n-1].Granted += d.Granted
		} else {
			s.domains[d.Queue] = append(list, d)
		}
	}
}

// shareLocked returns what this process may take in a queue: of what the queue and then the domain
// of its clients may have, the part that it asks for.
func (b *Book) shareLocked(s *service, a *account) float64 {
	i, ok := slices.BinarySearchFunc(s.queues, a.queue, func(d Demand, name string) int { return strings.Compare(d.Queue, name) })
	if !ok {
		return s.capacity
	}
	queue := s.division.entitlement(i)
	list := s.domains[a.queue]
	own := slices.IndexFunc(list, func(d Demand) bool { return d.Domain == b.params.Domain })
	if own < 0 {
		return queue
	}
	domain := newDivision(queue, evenClaims(list)).entitlement(own)
	return domain * min(a.asked.value/max(list[own].Asked, minAsked), 1)
}

// evenClaims returns the claims of domains, which all have the same weight.
func evenClaims(domains []Demand) []Claim {
	claims := make([]Claim, len(domains))
	for i := range domains {
		claims[i] = Claim{Weight: 1, Asked: domains[i].Asked}
	}
	return claims
}

// shares returns the present division by queue and domain.
func (s *service) shares() []Share {
	var out []Share
	for i, granted := range Divide(s.capacity, s.division.claims) {
		list := s.domains[s.queues[i].Queue]
		for k, part := range Divide(granted, evenClaims(list)) {
			out = append(out, Share{Queue: list[k].Queue, Domain: list[k].Domain, Asked: list[k].Asked, Granted: part})
		}
	}
	return out
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
