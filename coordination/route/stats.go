package route

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/shallotstep/shallotstep/state"
)

// Ending labels a final answer.
type Ending struct {
	Outcome state.Outcome
	Reason  state.Reason
}

// Stats is what an entry has done so far.
type Stats struct {
	Submitted uint64
	// Joined counts submissions that joined one under way at this entry.
	Joined uint64
	// Endings counts final answers by outcome and reason.
	Endings map[Ending]uint64
	// Retries counts further tries of repeatable requests by the reason of the
	// one before; hedges are among them under "hedge".
	Retries map[state.Reason]uint64
	Hedges  uint64
	Drops   uint64
	// BudgetEmpty counts retries that the budget did not allow.
	BudgetEmpty uint64
	// Resent counts repeats of an attempt, Redirects questions to a holder.
	Resent    uint64
	Bars      uint64
	Redirects uint64
	// Late counts answers that nobody waited for any more.
	Late uint64
	// Messages counts what was sent; Wasted what led to no first start and no
	// first result, replies included.
	Messages uint64
	Wasted   uint64
}

type counters struct {
	submitted, joined, resent, bars, redirects, late atomic.Uint64
	messages, wasted, hedges, drops, budgetEmpty     atomic.Uint64

	mu      sync.Mutex
	endings map[Ending]uint64       // guarded by mu
	retries map[state.Reason]uint64 // guarded by mu
}

func (c *counters) add(n *atomic.Uint64) { n.Add(1) }

func (c *counters) answered(o state.Outcome, reason state.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endings == nil {
		c.endings = make(map[Ending]uint64)
	}
	c.endings[Ending{o, reason}]++
}

func (c *counters) retried(reason state.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retries == nil {
		c.retries = make(map[state.Reason]uint64)
	}
	c.retries[reason]++
}

// Stats returns a snapshot.
func (r *Router) Stats() Stats {
	c := &r.stats
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{
		Submitted: c.submitted.Load(), Joined: c.joined.Load(),
		Endings: maps.Clone(c.endings), Retries: maps.Clone(c.retries),
		Hedges: c.hedges.Load(), Drops: c.drops.Load(), BudgetEmpty: c.budgetEmpty.Load(),
		Resent: c.resent.Load(), Bars: c.bars.Load(), Redirects: c.redirects.Load(),
		Late: c.late.Load(), Messages: c.messages.Load(), Wasted: c.wasted.Load(),
	}
}
