package shedding

import (
	"math/rand/v2"
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
	// jobs has the newest promise to each refused job that has not come back. order has all promises
	// by age, also those that were kept: to look for these would cost more than their memory.
	jobs  map[string]promise
	order []promise
	// made counts the promises.
	made int64
}

// promise is the time at which a job was told to come back.
type promise struct {
	id     string
	number int64
	at     time.Duration
}

// NewReturns returns a registry without promises. Processes need different seeds, or the clients of
// all of them come back at the same time.
func NewReturns(seed uint64) *Returns {
	return &Returns{rand: rand.New(rand.NewPCG(seed, 1)), jobs: make(map[string]promise)}
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
	p, ok := r.jobs[id]
	if !ok {
		return false
	}
	delete(r.jobs, id)
	return now >= p.at-early && now <= p.at+keptFor
}

// remember adds a promise and forgets the oldest one if there are too many.
func (r *Returns) remember(id string, at time.Duration) {
	r.made++
	p := promise{id: id, number: r.made, at: at}
	r.jobs[id] = p
	r.order = append(r.order, p)
	if len(r.order) <= maxReturns {
		return
	}
	oldest := r.order[0]
	r.order = r.order[1:]
	if r.jobs[oldest.id].number == oldest.number {
		delete(r.jobs, oldest.id)
	}
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
