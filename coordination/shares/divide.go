package shares

import (
	"cmp"
	"slices"
)

// Claim is what one queue or domain asks for when capacity is divided.
type Claim struct {
	Weight float64
	Asked  float64
}

// Divide returns the weighted max-min fair division of a capacity: nobody gets more than it asks
// for, and what one leaves over goes to the others by their weights. All weights must be positive.
func Divide(capacity float64, claims []Claim) []float64 {
	d := newDivision(capacity, claims)
	level := d.level(-1)
	out := make([]float64, len(claims))
	for i, c := range claims {
		out[i] = min(c.Asked, c.Weight*level)
	}
	return out
}

// division is a capacity with the claims to it, ordered by how much they ask for each unit of
// weight, so that an entitlement costs only a binary search.
type division struct {
	capacity float64
	claims   []Claim
	// order has the indices of the claims, and position the place of each in it.
	order, position []int
	// asked and weight have the sums over the first claims of the order.
	asked, weight []float64
}

func newDivision(capacity float64, claims []Claim) *division {
	n := len(claims)
	d := &division{
		capacity: max(capacity, 0), claims: claims,
		order: make([]int, n), position: make([]int, n), asked: make([]float64, n+1), weight: make([]float64, n+1),
	}
	for i := range d.order {
		d.order[i] = i
	}
	slices.SortStableFunc(d.order, func(a, b int) int { return cmp.Compare(d.ratio(a), d.ratio(b)) })
	for k, i := range d.order {
		d.position[i] = k
		d.asked[k+1] = d.asked[k] + claims[i].Asked
		d.weight[k+1] = d.weight[k] + claims[i].Weight
	}
	return d
}

func (d *division) ratio(i int) float64 { return d.claims[i].Asked / d.claims[i].Weight }

// level returns the capacity for each unit of weight that a claim gets unless it asks for less. The
// claim with the index greedy, if there is one, asks for everything.
func (d *division) level(greedy int) float64 {
	k, _ := slices.BinarySearchFunc(d.order, 0, func(i, _ int) int {
		if d.ratio(i) < d.levelWithSatisfied(d.position[i], greedy) {
			return -1
		}
		return 1
	})
	if greedy < 0 && k == len(d.order) {
		if k == 0 {
			return 0
		}
		return d.ratio(d.order[k-1])
	}
	return d.levelWithSatisfied(k, greedy)
}

// levelWithSatisfied returns the level if the first k claims of the order, except for greedy, get
// all that they ask for.
func (d *division) levelWithSatisfied(k, greedy int) float64 {
	left, weight := d.capacity-d.asked[k], d.weight[len(d.order)]-d.weight[k]
	if greedy >= 0 && d.position[greedy] < k {
		left += d.claims[greedy].Asked
		weight += d.claims[greedy].Weight
	}
	return left / weight
}

// entitlement returns how much a claim could have if it asked for everything, which is what it may
// take without being over its share.
func (d *division) entitlement(i int) float64 { return d.claims[i].Weight * d.level(i) }

// weights returns the weights of queues with the given priorities. floor is the part of the capacity
// that is divided evenly between the queues; the rest is divided by priorityWeight.
func weights(floor float64, queues []Demand) []float64 {
	var count, sum float64
	for i := range queues {
		count += float64(queues[i].Queues)
		sum += float64(queues[i].Queues) * priorityWeight(queues[i].Priority)
	}
	out := make([]float64, len(queues))
	for i := range queues {
		n := float64(queues[i].Queues)
		out[i] = n * (floor/count + (1-floor)*priorityWeight(queues[i].Priority)/sum)
	}
	return out
}

// priorityWeight returns the weight of a queue in the part of the capacity that goes by priority:
// a queue of priority 0 gets twice as much as one of priority 1 and three times as much as one of 2.
// It is never zero, so that no queue is starved.
func priorityWeight(priority int) float64 { return 1 / float64(1+max(priority, 0)) }
