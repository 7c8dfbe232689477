package admit

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// job holds what is remembered of one job's tasks.
type job struct {
	key      state.JobKey
	home     state.NodeID
	operator string
	priority int
	entries  map[int]*entry
	// past holds the tasks that ended and whose results are no longer kept, one
	// bit each. An agent remembers some seventy thousand tasks; with an entry
	// for each they would take a good part of its memory.
	past    bitset
	touched time.Time
}

// find returns the entry of a task, or nil if the task is new here.
func (j *job) find(index int) *entry {
	if e := j.entries[index]; e != nil {
		return e
	}
	if j.past.has(index) {
		return &entry{key: state.TaskKey{Job: j.key, Index: index}, phase: ended, job: j}
	}
	return nil
}

// forget gives up the result of an ended task and remembers only that it ran.
func (j *job) forget(e *entry) {
	e.result = nil
	if j.entries[e.key.Index] == e {
		delete(j.entries, e.key.Index)
		j.past.set(e.key.Index)
	}
}

// indexes returns the indexes of the job's entries in order.
func (j *job) indexes() []int {
	out := make([]int, 0, len(j.entries))
	for i := range j.entries {
		out = append(out, i)
	}
	slices.Sort(out)
	return out
}

// bitset is a set of small numbers.
type bitset []uint64

const wordBits = 64

func (b bitset) has(i int) bool {
	return i >= 0 && i/wordBits < len(b) && b[i/wordBits]&(1<<(i%wordBits)) != 0
}

func (b *bitset) set(i int) {
	for i/wordBits >= len(*b) {
		*b = append(*b, 0)
	}
	(*b)[i/wordBits] |= 1 << (i % wordBits)
}
