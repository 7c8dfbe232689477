package shedding

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// slotLength is the resolution at which returns are promised.
	slotLength = 250 * time.Millisecond
	// slots bounds the returns that are promised to the next 20 s. No client waits longer.
	slots = 80
	// returnShare is the share of the capacity that is promised to returning clients. New ones get
	// the rest.
	returnShare = 0.25
	// maxReturns bounds the jobs whose promised returns are remembered: about four seconds of a busy
	// entry's refusals.
	maxReturns = 4096
	// early and keptFor are how much before and after its promised time a client may come to count
	// as returning. HTTP rounds the time up to a second.
	early   = slotLength
	keptFor = 2 * time.Second
)

// Returns spreads the return of refused clients over the time in which capacity can take them back.
type Returns struct {
	rand *rand.Rand
	// promised has the core time that was promised for each slot, where slot is at % slots.
	promised [slots]time.Duration
	// first is the number of the earliest slot in promised.
	first int64
	// jobs has when each refused job was told to come back, and order the jobs by age.
	jobs  map[string]time.Duration
	order []string
}

// NewReturns returns a registry without promises. Processes need different seeds, or the clients of
// all of them come back at the same time.
func NewReturns(seed uint64) *Returns {
	return &Returns{rand: rand.New(rand.NewPCG(seed, 1)), jobs: make(map[string]time.Duration)}
}

// Promise returns after which time a refused job is to come back: at least after wait, in a slot in
// which its work fits beside what is promised already. cores is the capacity of this process.
func (r *Returns) Promise(now time.Duration, id string, work, wait time.Duration, cores float64) time.Duration {
	r.advance(now)
	room := time.Duration(returnShare * cores * float64(slotLength))
	last := r.first + slots - 1
	at := min(slotOf(now+wait), last)
	for at < last && r.promised[at%slots] > 0 && r.promised[at%slots]+work > room {
		at++
	}
	if r.promised[at%slots] > 0 && r.promised[at%slots]+work > room {
		// Everything is promised. An even spread over the whole period is the best that is left.
		at = r.first + 1 + r.rand.Int64N(slots-1)
	}
	r.promised[at%slots] += work
	jitter := time.Duration(r.rand.Int64N(int64(slotLength)))
	after := max(time.Duration(at)*slotLength+jitter-now, wait, time.Millisecond)
	r.remember(id, now+after)
	return after
}

// Due reports whether a job comes back about when it was told to, and forgets the promise.
func (r *Returns) Due(now time.Duration, id string) bool {
	at, ok := r.jobs[id]
	if !ok {
		return false
	}
	r.forget(id)
	return now >= at-early && now <= at+keptFor
}

func (r *Returns) remember(id string, at time.Duration) {
	if _, known := r.jobs[id]; !known {
		r.order = append(r.order, id)
	}
	r.jobs[id] = at
	for len(r.order) > maxReturns {
		delete(r.jobs, r.order[0])
		r.order = r.order[1:]
	}
}

// forget removes a job that has come back. A job that returns often must not stand in order more
// than once, or its first place would end its newest promise.
func (r *Returns) forget(id string) {
	delete(r.jobs, id)
	r.order = slices.DeleteFunc(r.order, func(known string) bool { return known == id })
}

// advance drops the slots that have passed.
func (r *Returns) advance(now time.Duration) {
	current := slotOf(now)
	if current-r.first >= slots {
		clear(r.promised[:])
		r.first = current
		return
	}
	for ; r.first < current; r.first++ {
		r.promised[r.first%slots] = 0
	}
}

func slotOf(at time.Duration) int64 { return int64(at / slotLength) }
