package agent

// epochsPerGeneration spaces the epochs of a group's generations, so that a new
// share goes before the old one without a word between the agents. An agent
// that opens a shard anew within a generation, because the store failed it,
// takes the next number; at ten tries a second the room lasts for two hours.
const epochsPerGeneration = 1 << 16

// epochs hands out the epochs under which an agent opens shards. Those of one
// shard only rise: with a lower one than its last the agent would be fenced by
// itself, and nobody could open the shard until the group changes.
type epochs struct {
	last map[int]int64
}

// next returns the epoch for opening a shard in a generation.
func (e *epochs) next(shard int, generation int64) int64 {
	n := max(e.last[shard]+1, generation*epochsPerGeneration)
	e.set(shard, n)
	return n
}

// fenced notes that the store has a higher epoch than the last one handed out:
// its writer had used its generation's room up. The next is of a generation on.
func (e *epochs) fenced(shard int) { e.set(shard, e.last[shard]+epochsPerGeneration) }

func (e *epochs) set(shard int, n int64) {
	if e.last == nil {
		e.last = make(map[int]int64)
	}
	e.last[shard] = n
}
