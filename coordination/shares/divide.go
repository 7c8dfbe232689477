package shares

import "slices"

// Claim is what one queue or domain asks for when capacity is divided.
type Claim struct {
	Weight float64
	Asked  float64
}

// Divide returns the weighted max-min fair division of a capacity: nobody gets more than it asks
// for, and what one leaves over goes to the others by their weights. All weights must be positive.
func Divide(capacity float64, claims []Claim) []float64 {
	level := waterLevel(capacity, claims)
	out := make([]float64, len(claims))
	for i, c := range claims {
		out[i] = min(c.Asked, c.Weight*level)
	}
	return out
}

// waterLevel returns the capacity for each unit of weight that a claim gets unless it asks for less.
// If all claims fit, it is the level at which the largest of them is satisfied.
func waterLevel(capacity float64, claims []Claim) float64 {
	order := make([]int, len(claims))
	var weights float64
	for i := range claims {
		order[i] = i
		weights += claims[i].Weight
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return compareFloat(claims[a].Asked/claims[a].Weight, claims[b].Asked/claims[b].Weight)
	})
	left := max(capacity, 0)
	var level float64
	for _, i := range order {
		c := &claims[i]
		if level = c.Asked / c.Weight; level*weights >= left {
			return left / weights
		}
		left -= c.Asked
		weights -= c.Weight
	}
	return level
}

// entitlement returns how much a claim could have if it asked for everything, which is what it may
// take without being over its share.
func entitlement(capacity float64, claims []Claim, index int) float64 {
	all := slices.Clone(claims)
	all[index].Asked = max(capacity, 0)
	return all[index].Weight * waterLevel(capacity, all)
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

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
