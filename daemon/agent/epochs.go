package agent

// epochsPerGeneration is the number of epochs reserved for each generation of the
// group. The epochs of a generation are higher than those of all earlier ones, so a
// new owner fences the previous one without any exchange between the agents. An
// agent that opens a shard again within a generation, because the store has failed,
// takes the next epoch; at ten attempts a second the epochs last for two hours.
const epochsPerGeneration = 1 << 16

// epochs assigns the epochs under which an agent opens shards. The epochs of a shard
// only increase. With an epoch lower than its last one the agent would be fenced by
// itself, and no agent could open the shard until the group changes.
type epochs struct {
	// last has the last epoch assigned for each shard.
	last map[int]int64
}

// next assigns the epoch for opening a shard in a generation.
func (e *epochs) next(shard int, generation int64) int64 {
	n := max(e.last[shard]+1, generation*epochsPerGeneration)
	e.set(shard, n)
	return n
}

// fenced notes that the store has a higher epoch than the last one assigned: its
// writer had used up the epochs of its generation. The next epoch is higher by more
// than epochsPerGeneration.
func (e *epochs) fenced(shard int) { e.set(shard, e.last[shard]+epochsPerGeneration) }

func (e *epochs) set(shard int, n int64) {
	if e.last == nil {
		e.last = make(map[int]int64)
	}
	e.last[shard] = n
}
