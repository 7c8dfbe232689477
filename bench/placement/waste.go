package main

import (
	"fmt"
	"strings"

	"github.com/shallotstep/shallotstep/coordination/message"
)

// cause is why a message was wasted: it led to no first start and no first
// result.
type cause int

const (
	// sentRefused: an Assign of which no task started.
	sentRefused cause = iota
	// askVain: an Assign that only told of a backlog, and no offer of that agent
	// was taken up after it.
	askVain
	// offerVain: a Report with nothing but an offer that was not taken up.
	offerVain
	// refusal: a Report with nothing but refusals.
	refusal
	// dropped: a Drop.
	dropped
	// otherReport: a Report with none of these, such as one on what runs.
	otherReport
	causes
)

var causeNames = [causes]string{"refused", "asks", "offers", "refusals", "drops", "other"}

// reportCause says why a Report was wasted that brought no first result and
// whose offer, if it made one, was not taken up.
func reportCause(r *message.Report) cause {
	switch {
	case len(r.Refused) > 0:
		return refusal
	case r.Credit > 0:
		return offerVain
	}
	return otherReport
}

type waste [causes]int

func (w *waste) total() (n int) {
	for _, k := range w {
		n += k
	}
	return n
}

// perStart lists the causes, each in messages per start.
func (w *waste) perStart(starts int) string {
	var parts []string
	for c, n := range w {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s %.3f", causeNames[c], float64(n)/float64(max(1, starts))))
		}
	}
	return strings.Join(parts, ", ")
}
