package owner

import (
	"math"
	"time"
)

// orderRatio estimates how many orders reach the agents for each order of this process. The orders
// of other processes are not visible here one by one, and are assumed to go where its own go.
//
// The number of processes alone is not a good estimate: with it, a process with three times the
// traffic of the others counted each of its orders as if eight processes had sent one each. It took
// the agents for full and refused its clients, for whose failure domain it was the only entry,
// while the others had nothing waiting. Guarded by Fleet.mu.
type orderRatio struct {
	own, total float64
	updated    time.Duration
}

const (
	// orderRatioWindow is the time constant over which orders are counted: some hundred orders of a
	// busy process, and shorter than a burst.
	orderRatioWindow = time.Second
	// minOwnOrders is the number of this process's own orders below which the ratio is not used.
	minOwnOrders = 20
)

// note adds the orders, own and in total, that an agent has received since its last update.
func (c *orderRatio) note(now time.Duration, own, total int64) {
	decay := math.Exp(-float64(now-c.updated) / float64(orderRatioWindow))
	c.updated = now
	c.own = c.own*decay + float64(own)
	c.total = c.total*decay + float64(total)
}

// estimate returns how many orders reach the agents for each order of this process. Without enough
// own orders it is the number of processes that place work.
func (c *orderRatio) estimate(placers int) float64 {
	if c.own < minOwnOrders || c.total < c.own {
		return float64(max(placers, 1))
	}
	return c.total / c.own
}
