// Package place chooses agents for tasks. It is pure: a choice depends on a
// snapshot of loads and on the lots drawn, and changes nothing.
package place

import (
	"math/rand/v2"

	"github.com/shallotstep/shallotstep/state"
)

// MaxEjectedShare is the part of a service's agents that may be left out
// because their own failure detectors eject them. Beyond it the failures are
// more likely the tasks' than the workers', and leaving out yet more agents
// would turn bad tasks into an outage.
const MaxEjectedShare = 0.3

// loneEjection is from how many agents on one may be left out whatever its
// share. With three the share allows none at all, and one broken worker, which
// always looks free, fails most jobs. Two that work beside it say that the tasks
// aren't at fault; bad tasks soon eject a second one, which is beyond the share.
const loneEjection = 3

// Usable returns the loads that may get new tasks. Draining agents are left
// out always, ejected ones up to MaxEjectedShare, or one of three. Override says that ejected
// agents are among the result and have to be told to take tasks all the same.
func Usable(loads []state.AgentLoad) (usable []state.AgentLoad, override bool) {
	override = Override(loads)
	usable = make([]state.AgentLoad, 0, len(loads))
	for i := range loads {
		if loads[i].Draining || loads[i].Ejected && !override {
			continue
		}
		usable = append(usable, loads[i])
	}
	return usable, override
}

// Override reports whether so many of the loads are ejected that none of them is
// left out.
func Override(loads []state.AgentLoad) bool {
	staying, ejected := 0, 0
	for i := range loads {
		if loads[i].Draining {
			continue
		}
		staying++
		if loads[i].Ejected {
			ejected++
		}
	}
	return float64(ejected) > MaxEjectedShare*float64(staying) && !(ejected == 1 && staying >= loneEjection)
}

// Runnable reports whether some worker among the loads could ever hold the
// task, whatever it runs now.
func Runnable(t *state.Task, loads []state.AgentLoad) bool {
	for i := range loads {
		if loads[i].Fits(t) {
			return true
		}
	}
	return false
}

// BetterOfTwo draws two different numbers below n and returns the one that
// room rates higher. It returns -1 if n is zero. Two draws suffice to avoid
// both the longest queue and the herd that forms when everybody sends to the
// one agent that looked best a moment ago.
func BetterOfTwo(rng *rand.Rand, n int, room func(int) int) int {
	switch n {
	case 0:
		return -1
	case 1:
		return 0
	}
	a := rng.IntN(n)
	b := rng.IntN(n - 1)
	if b >= a {
		b++
	}
	if room(b) > room(a) {
		return b
	}
	return a
}
