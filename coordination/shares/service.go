package shares

import (
	"slices"
	"strings"
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
)

// service is the division of one service's capacity. Guarded by Book.mu.
type service struct {
	accounts  map[string]*account
	dividedAt time.Duration
	contended bool
	// capacity is what is divided, in cores, scale its ratio to the capacity of the agents, and
	// freeShare the part of that which is free.
	capacity, scale, freeShare float64
	// queues has the demand by queue, sorted by name, division the division of the capacity between
	// them, and domains the demand of each queue by domain.
	queues   []Demand
	division *division
	domains  map[string][]Demand
	// rest has the claims of this process's queues that are divided together with the others' sum of
	// all other queues; nil if there are none.
	rest *restClaims
}

// restClaims are the claims of queues within this process's part of the sum of all other queues.
// The others know these queues only as such a sum, and this process the same of theirs. If it divided
// the capacity between its own queues and the others' sum, each process would count the part of the
// same queues as its own.
type restClaims struct {
	claims []Claim
	// place has the index of a queue's claim.
	place map[string]int
	asked float64
	// division divides this process's part.
	division *division
}

func (b *Book) ownRowsLocked(now time.Duration, s *service) []Demand {
	rows := make([]Demand, 0, len(s.accounts))
	for _, a := range s.accounts {
		rows = append(rows, Demand{Queue: a.queue, Domain: b.params.Domain, Priority: a.priority, Queues: 1, Asked: a.demand(now)})
	}
	return rows
}

// divideLocked divides the capacity of a service between all demand that is known.
func (b *Book) divideLocked(now time.Duration, name string, s *service, agents []Agent) {
	s.dividedAt = now
	rows, capacity, freeShare := b.knownLocked(now, s, agents)
	s.freeShare = freeShare
	s.collect(b.foldLocked(now, s, rows))
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
	s.divideRest()
	if s.contended != was && len(b.events) < maxEvents {
		b.events = append(b.events, Event{Service: name, Contended: s.contended, Asked: asked, Capacity: capacity, Shares: s.shares()})
	}
}

// knownLocked returns the demand that is known, the capacity that it competes for, and the part of
// it that is free. Of an agent without news, this process counts on its own part only.
func (b *Book) knownLocked(now time.Duration, s *service, agents []Agent) (rows []Demand, capacity, freeShare float64) {
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

// foldLocked adds this process's demand to what the others ask for. Its queues that the others name
// only in the sum of all other queues are added to that sum.
func (b *Book) foldLocked(now time.Duration, s *service, others []Demand) []Demand {
	own := b.ownRowsLocked(now, s)
	s.rest = nil
	named := make(map[string]bool, len(others))
	for i := range others {
		named[others[i].Queue] = true
	}
	if !named[""] {
		return append(own, others...)
	}
	rows := others
	var folded []Demand
	for _, d := range own {
		if named[d.Queue] {
			rows = append(rows, d)
		} else {
			folded = append(folded, d)
		}
	}
	if len(folded) == 0 {
		return rows
	}
	s.rest = newRestClaims(b.params.Floor, folded)
	return append(rows, sumOf(folded, b.params.Domain))
}

// sumOf returns the sum of the demand of some queues, as truncate does.
func sumOf(queues []Demand, domain string) Demand {
	sum := Demand{Domain: domain, Queues: len(queues)}
	for _, d := range queues {
		sum.Priority = max(sum.Priority, d.Priority)
		sum.Asked += d.Asked
	}
	return sum
}

func newRestClaims(floor float64, queues []Demand) *restClaims {
	slices.SortFunc(queues, compareDemands)
	r := &restClaims{place: make(map[string]int, len(queues))}
	for i, w := range weights(floor, queues) {
		r.place[queues[i].Queue] = i
		r.claims = append(r.claims, Claim{Weight: w, Asked: queues[i].Asked})
		r.asked += queues[i].Asked
	}
	return r
}

// divideRest divides this process's part of the sum of all other queues.
func (s *service) divideRest() {
	if s.rest == nil {
		return
	}
	part := s.capacity
	if i, ok := s.find(""); ok {
		part = s.division.entitlement(i) * min(s.rest.asked/max(s.queues[i].Asked, minAsked), 1)
	}
	s.rest.division = newDivision(part, s.rest.claims)
}

// find returns the index of a queue's demand.
func (s *service) find(queue string) (int, bool) {
	return slices.BinarySearchFunc(s.queues, queue, func(d Demand, name string) int { return strings.Compare(d.Queue, name) })
}

// HasRoom reports whether so much of a capacity is free that demand for it needn't be told.
func HasRoom(freeShare float64) bool { return freeShare >= uncontendedFree }

func isContended(was bool, asked, capacity, freeShare float64) bool {
	if capacity <= 0 {
		return false
	}
	if was {
		return asked >= uncontendedShare*capacity && freeShare < uncontendedFree
	}
	return asked >= contendedShare*capacity && freeShare < contendedFree
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
			q.Asked += d.Asked
			q.Priority, q.Queues = min(q.Priority, d.Priority), max(q.Queues, d.Queues)
		} else {
			s.queues = append(s.queues, d)
		}
		list := s.domains[d.Queue]
		if n := len(list); n > 0 && list[n-1].Domain == d.Domain {
			list[n-1].Asked += d.Asked
		} else {
			s.domains[d.Queue] = append(list, d)
		}
	}
}

// shareLocked returns what this process may take in a queue: of what the queue and then the domain
// of its clients may have, the part that it asks for.
func (b *Book) shareLocked(s *service, a *account) float64 {
	if s.rest != nil {
		if i, ok := s.rest.place[a.queue]; ok {
			return s.rest.division.entitlement(i)
		}
	}
	i, ok := s.find(a.queue)
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
	return domain * min(a.demand(s.dividedAt)/max(list[own].Asked, minAsked), 1)
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
