// Package assignment tracks which partitions a group has assigned to one of its members, and whether
// another member may have held them in between.
package assignment

// Tracker follows the answers to a member's joins. The zero value has joined no group. It is not safe
// for concurrent use.
type Tracker struct {
	generation int64
	held       map[int]bool
}

// Generation returns the generation of the last answer; zero before the first one.
func (t *Tracker) Generation() int64 { return t.generation }

// Joined notes an answer: the generation of the group and the partitions of the member. It returns those
// that the member has held before and that another one may have held since the last answer. That takes
// two changes of the group, one that moves the partition away and one that moves it back, and each
// change increases the generation. Whether the membership has expired doesn't matter.
func (t *Tracker) Joined(generation int64, partitions []int) (interrupted []int) {
	before, changes := t.held, generation-t.generation
	t.generation, t.held = generation, make(map[int]bool, len(partitions))
	for _, p := range partitions {
		t.held[p] = true
		if before[p] && (changes < 0 || changes > 1) {
			interrupted = append(interrupted, p)
		}
	}
	return interrupted
}
