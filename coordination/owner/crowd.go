package owner

import (
	"math"
	"time"
)

// crowd estimates how many orders reach the agents for each order of this process. The orders of
// other processes are not visible here one by one, and are assumed to go where its own go.
//
// The number of processes alone is not a good estimate: with it, a process with three times the
// traffic of the others counted each of its orders as if eight processes had sent one each. It took
// the agents for full and refused its clients, for whose failure domain it was the only entry,
// while the others had nothing waiting. Guarded by Fleet.mu.
type crowd struct {
	mine, all float64
	updated   time.Duration
}

const (
	// crowdMemory is the time constant over which orders are counted: some hundred orders of a busy
	// process, and shorter than a burst.
	crowdMemory = time.Second
	// crowdKnown is the number of this process's own orders below which the ratio is not used.
	crowdKnown = 20
)

// note adds the orders, own and in total, that an agent has received since its last update.
func (c *crowd) note(now time.Duration, mine, all int64) {
	fade := math.Exp(-float64(now-c.updated) / float64(crowdMemory))
	c.updated = now
	c.mine = c.mine*fade + float64(mine)
	c.all = c.all*fade + float64(all)
}

// of returns how many orders reach the agents for each order of this process. Without enough own
// orders it is the number of processes that place work.
func (c *crowd) of(placers int) float64 {
	if c.mine < crowdKnown || c.all < c.mine {
		return float64(max(placers, 1))
	}
	return c.all / c.mine
}
