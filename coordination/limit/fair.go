package limit

import (
	"cmp"
	"math"
	"slices"
)

// demand is what one operator wants in flight, and how much its share weighs.
type demand struct {
	tasks  int64
	weight float64
}

// fairShare returns the weighted max-min share of capacity: the largest amount
// for each unit of weight such that giving everybody the lesser of its part and
// its demand does not exceed capacity. Who asks for less than its part gets all
// it asks for; if all do, the share has no bound. demands is sorted in place.
func fairShare(capacity int64, demands []demand) float64 {
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Compare(float64(a.tasks)/a.weight, float64(b.tasks)/b.weight)
	})
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	left := float64(capacity)
	for _, d := range demands {
		share := left / weights
		if float64(d.tasks) > share*d.weight {
			return share
		}
		left -= float64(d.tasks)
		weights -= d.weight
	}
	return math.Inf(1)
}
