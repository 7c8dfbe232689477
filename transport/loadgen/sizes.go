package loadgen

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// mixedSizes is the distribution for DefaultTasks: most jobs are small, some large.
const mixedSizes = "1=0.6,2-10=0.3,20-60=0.1"

// Sizes is the distribution of the number of tasks per job.
type Sizes struct {
	text   string
	ranges []sizeRange
}

// sizeRange is a uniform distribution from min to max. share is the share of jobs
// whose size is from this range.
type sizeRange struct {
	min, max int
	share    float64
}

// ParseSizes parses a distribution: "N", "N-M", a list of either with shares such as
// "1=0.6,2-10=0.4", or "mix". Shares are normalized to a sum of 1.
func ParseSizes(text string) (Sizes, error) {
	s := Sizes{text: text}
	list := text
	if list == DefaultTasks {
		list = mixedSizes
	}
	total := 0.0
	for _, item := range strings.Split(list, ",") {
		r, err := parseSizeRange(item)
		if err != nil {
			return Sizes{}, errors.Wrapf(err, "tasks per job %q", text)
		}
		total += r.share
		s.ranges = append(s.ranges, r)
	}
	for i := range s.ranges {
		s.ranges[i].share /= total
	}
	return s, nil
}

// parseSizeRange parses one item of the list: "N", "N-M", or either with "=SHARE".
func parseSizeRange(item string) (sizeRange, error) {
	r := sizeRange{share: 1}
	bounds, share, hasShare := strings.Cut(item, "=")
	if hasShare {
		var err error
		if r.share, err = strconv.ParseFloat(share, 64); err != nil || !(r.share > 0) || r.share > 1 {
			return r, errors.Errorf("%q is no share from 0 to 1", share)
		}
	}
	minText, maxText, isRange := strings.Cut(bounds, "-")
	if !isRange {
		maxText = minText
	}
	var err error
	if r.min, err = strconv.Atoi(minText); err != nil {
		return r, errors.Errorf("%q is no number", minText)
	}
	if r.max, err = strconv.Atoi(maxText); err != nil {
		return r, errors.Errorf("%q is no number", maxText)
	}
	if r.min < 1 || r.max < r.min || r.max > state.MaxTasksPerJob {
		return r, errors.Errorf("a job has 1 to %d tasks", state.MaxTasksPerJob)
	}
	return r, nil
}

// Mean returns the mean number of tasks.
func (s Sizes) Mean() float64 {
	mean := 0.0
	for _, r := range s.ranges {
		mean += r.share * float64(r.min+r.max) / 2
	}
	return mean
}

// draw draws the number of tasks of a job.
func (s Sizes) draw(rng *rand.Rand) int {
	x := rng.Float64()
	r := s.ranges[len(s.ranges)-1]
	for _, candidate := range s.ranges {
		if x < candidate.share {
			r = candidate
			break
		}
		x -= candidate.share
	}
	return r.min + rng.IntN(r.max-r.min+1)
}
