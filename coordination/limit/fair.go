package limit

import "slices"

// fairShare returns the max-min share of capacity between demands: the largest
// amount such that giving everybody the lesser of it and its demand does not
// exceed capacity. Who asks for less than the share gets all it asks for.
// demands is sorted in place.
func fairShare(capacity int64, demands []int64) int64 {
	slices.Sort(demands)
	left := capacity
	for i, d := range demands {
		equal := left / int64(len(demands)-i)
		if d > equal {
			return equal
		}
		left -= d
	}
	return capacity
}
