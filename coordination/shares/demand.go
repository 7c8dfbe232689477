// Package shares divides contended capacity between queues, and within a queue between the failure
// domains that callers come from, by weighted max-min fairness.
//
// A Book holds what one process asks for and what it hears of the others, and decides for each job
// that needs contended capacity whether its queue is over its share. Sums is the agents' side: it
// adds up what callers ask for. Both are safe for concurrent use and get the time as now, a reading
// of the boot clock.
package shares

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// MaxRows is the number of rows of demand that a frame carries, besides one for all others.
const MaxRows = 16

// NewsTimeout is how long the demand of another process counts. Frames repeat it several times
// within that time, so a single lost frame changes nothing.
const NewsTimeout = time.Second

// Demand is what jobs of one queue, sent by callers of one failure domain, ask for.
type Demand struct {
	// Queue is empty for the sum of all queues beyond MaxRows.
	Queue string
	// Domain is the failure domain of the callers; empty if it isn't known.
	Domain string
	// Priority is the queue's priority; 0 is the most urgent.
	Priority int
	// Queues is the number of queues in the sum; 1 for a single queue.
	Queues int
	// Asked is the recent rate of work that was asked for, in cores.
	Asked float64
}

// Valid reports whether a row can be used. Other rows come from a faulty sender.
func (d *Demand) Valid() bool {
	return validRate(d.Asked) && d.Priority >= 0 && d.Queues >= 1
}

// maxRate bounds a rate, in cores, far above that of any site, so that sums stay finite.
const maxRate = 1e9

func validRate(x float64) bool { return x >= 0 && x <= maxRate && !math.IsNaN(x) }

type demandKey struct{ queue, domain string }

func (d *Demand) key() demandKey { return demandKey{d.Queue, d.Domain} }

// minAsked is the rate, in cores, below which a queue doesn't ask for capacity any more.
const minAsked = 0.001

// combine sums rows by queue and domain, and returns the MaxRows largest, and one for all others.
// The order of the rows doesn't matter.
func combine(rows []Demand) []Demand {
	index := make(map[demandKey]int, len(rows))
	var out []Demand
	slices.SortFunc(rows, compareDemands)
	for _, d := range rows {
		if d.Asked < minAsked {
			continue
		}
		i, ok := index[d.key()]
		if !ok {
			index[d.key()] = len(out)
			out = append(out, d)
			continue
		}
		o := &out[i]
		o.Asked += d.Asked
		o.Priority, o.Queues = min(o.Priority, d.Priority), max(o.Queues, d.Queues)
	}
	return truncate(out)
}

// truncate sums the rows beyond MaxRows up into one. The priority of the sum is the least urgent
// one, so that a sum doesn't get more than each of its queues would.
func truncate(rows []Demand) []Demand {
	slices.SortFunc(rows, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), compareDemands(a, b))
	})
	var rest Demand
	kept := rows[:0:0]
	for _, d := range rows {
		if d.Queue != "" && len(kept) < MaxRows {
			kept = append(kept, d)
			continue
		}
		rest.Priority = max(rest.Priority, d.Priority)
		rest.Queues += d.Queues
		rest.Asked += d.Asked
	}
	if rest.Queues > 0 {
		kept = append(kept, rest)
	}
	return kept
}

func compareDemands(a, b Demand) int {
	return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Asked, b.Asked),
		cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Queues, b.Queues))
}

// Changed reports whether demand has changed enough to be sent before it is due again: a row by more
// than a share of the total.
func Changed(sent, now []Demand, share float64) bool {
	before := make(map[demandKey]float64, len(sent))
	var total float64
	for _, d := range sent {
		before[d.key()] += d.Asked
	}
	for _, d := range now {
		total += d.Asked
	}
	limit := share * total
	for _, d := range now {
		if math.Abs(d.Asked-before[d.key()]) > limit {
			return true
		}
		delete(before, d.key())
	}
	for _, asked := range before {
		if asked > limit {
			return true
		}
	}
	return false
}

// OwnChange and OthersChange are the changes of a row, as a share of all demand, that a process sends
// of its own demand and an agent of the sum of its callers. A smaller one moves a queue's share by
// less than the rates are precise. A sum of many callers is more precise, and goes over fewer links.
const OwnChange, OthersChange = 0.2, 0.1
