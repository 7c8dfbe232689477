package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// kind is a family of faults. Its draw returns one of them.
type kind struct {
	name string
	// lost says that a domain is lost: the time until each share has a living
	// pair is measured. Otherwise nobody may be evicted.
	lost bool
	// hopeless says that nothing in reach of the others tells the fault from a
	// loss. Evictions are counted and not held against the rule.
	hopeless bool
	// few says that questions and answers must be a handful.
	few bool
	// three gives the region three domains, each larger than wideLoss.
	three bool
	draw  func(*sketch) faults
}

// sketch is what a fault is drawn from.
type sketch struct {
	*rand.Rand
	members []state.Member
}

func (s *sketch) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.Int64N(int64(b-a)+1))
}

func (s *sketch) in(domain string) func(int) bool {
	return func(i int) bool { return s.members[i].Domain == domain }
}

func during(from, to time.Duration) func(time.Duration) bool {
	return func(t time.Duration) bool { return t >= from && t < to }
}

// cut separates the first domain from the others for a while.
func (s *sketch) cut() faults {
	first, on := s.in("d0"), during(0, s.between(shortestFault, longestFault))
	return faults{deaf: func(t time.Duration, a, b int) bool { return on(t) && first(a) != first(b) }}
}

// loss loses one domain.
func (s *sketch) loss() faults {
	lost := s.in(fmt.Sprintf("d%d", s.IntN(2)))
	return faults{dead: func(_ time.Duration, i int) bool { return lost(i) }}
}

// outages returns when the log is out of service: again and again.
func (s *sketch) outages(shortest, longest, gap time.Duration) func(time.Duration, int) bool {
	var on []func(time.Duration) bool
	for at := s.between(0, gap); at < faultLimit; {
		end := at + s.between(shortest, longest)
		on = append(on, during(at, end))
		at = end + s.between(100*time.Millisecond, gap)
	}
	return func(t time.Duration, _ int) bool {
		return slices.ContainsFunc(on, func(f func(time.Duration) bool) bool { return f(t) })
	}
}

// lags draws a delay for each side of the log.
func (s *sketch) lags(longest time.Duration) func(int) time.Duration {
	first := s.in("d0")
	a, b := s.between(0, longest), s.between(0, longest)
	return func(i int) time.Duration {
		if first(i) {
			return a
		}
		return b
	}
}

var kinds = []kind{
	{name: "loss", lost: true, few: true, draw: (*sketch).loss},
	{name: "loss, words lost", lost: true, draw: func(s *sketch) faults {
		f := s.loss()
		f.unheard, f.lost = 0.05, 0.1
		return f
	}},
	{name: "loss, slow log", lost: true, draw: func(s *sketch) faults {
		f, lag := s.loss(), s.between(0, 5*time.Second)
		f.lag = func(int) time.Duration { return lag }
		return f
	}},
	{name: "loss, log out of service", lost: true, draw: func(s *sketch) faults {
		f := s.loss()
		from := s.between(0, 25*time.Second)
		out := during(from, from+s.between(time.Second, time.Minute))
		f.noLog = func(t time.Duration, _ int) bool { return out(t) }
		return f
	}},
	{name: "three domains, one lost", three: true, lost: true, few: true, draw: (*sketch).loss},
	{name: "three domains, one cut off", three: true, few: true, draw: (*sketch).cut},
	{name: "cut", few: true, draw: (*sketch).cut},
	{name: "cut one way", draw: func(s *sketch) faults {
		f, first, flip := s.cut(), s.in("d0"), s.IntN(2) == 0
		both := f.deaf
		f.deaf = func(t time.Duration, a, b int) bool { return both(t, a, b) && first(a) == flip }
		return f
	}},
	{name: "flapping cut", draw: func(s *sketch) faults {
		first, on := s.in("d0"), s.flaps()
		return faults{deaf: func(t time.Duration, a, b int) bool { return on(t, 0) && first(a) != first(b) }}
	}},
	{name: "flapping cut, flapping log", draw: func(s *sketch) faults {
		first, on := s.in("d0"), s.flaps()
		f := faults{deaf: func(t time.Duration, a, b int) bool { return on(t, 0) && first(a) != first(b) }}
		f.noLog = s.outages(200*time.Millisecond, 15*time.Second, 12*time.Second)
		return f
	}},
	{name: "cut, slow log", draw: func(s *sketch) faults {
		f := s.cut()
		f.lag = s.lags(4 * time.Second)
		return f
	}},
	{name: "cut, flapping log", draw: func(s *sketch) faults {
		f := s.cut()
		f.noLog = s.outages(200*time.Millisecond, 4*time.Second, 4*time.Second)
		return f
	}},
	{name: "cut, log out of service", draw: func(s *sketch) faults {
		f := s.cut()
		f.noLog = s.outages(2*time.Second, 30*time.Second, 20*time.Second)
		return f
	}},
	{name: "cut, log out of service at the first question", draw: func(s *sketch) faults {
		f := s.cut()
		from := s.between(6*time.Second, 8*time.Second)
		out := during(from, from+s.between(8*time.Second, 15*time.Second))
		f.noLog = func(t time.Duration, _ int) bool { return out(t) }
		f.lag = s.lags(time.Second)
		return f
	}},
	{name: "cut, appends lost", draw: func(s *sketch) faults {
		f := s.cut()
		f.lost, f.unheard = 0.3, 0.05
		return f
	}},
	{name: "cut and pauses", draw: func(s *sketch) faults {
		f := s.cut()
		f.paused = s.pauses(8 * time.Second)
		return f
	}},
	{name: "cut, the watching side pauses", draw: func(s *sketch) faults {
		f, first := s.cut(), s.in("d0")
		from := s.between(4*time.Second, 12*time.Second)
		side, out := s.IntN(2) == 0, during(from, from+s.between(3*time.Second, 8*time.Second))
		f.paused = func(t time.Duration, i int) bool { return first(i) == side && out(t) }
		return f
	}},
	{name: "both sides paused", draw: func(s *sketch) faults {
		length := s.between(shortestFault, time.Minute)
		late := make([]time.Duration, len(s.members))
		for i := range late {
			late[i] = s.between(0, 3*time.Second)
		}
		return faults{paused: func(t time.Duration, i int) bool { return t < length+late[i] }}
	}},
	{name: "part of a domain lost, the rest cut", draw: func(s *sketch) faults {
		f, first := s.cut(), s.in("d0")
		dead := make([]bool, len(s.members))
		for i := range dead {
			dead[i] = first(i) && s.IntN(2) == 0
		}
		f.dead = func(_ time.Duration, i int) bool { return dead[i] }
		return f
	}},
	{name: "part of a domain lost", draw: func(s *sketch) faults {
		first, part := s.in("d0"), 4+s.IntN(6)
		dead := make([]bool, len(s.members))
		for i := range dead {
			dead[i] = first(i) && s.IntN(10) < part
		}
		return faults{unheard: 0.02, dead: func(_ time.Duration, i int) bool { return dead[i] }}
	}},
	{name: "cut, one side cut from the log", hopeless: true, draw: func(s *sketch) faults {
		f, first, side := s.cut(), s.in("d0"), s.IntN(2) == 0
		f.noLog = func(t time.Duration, i int) bool { return first(i) == side && f.deaf(t, 0, len(s.members)-1) }
		return f
	}},
	{name: "cut, one side pauses for long", hopeless: true, draw: func(s *sketch) faults {
		f, first := s.cut(), s.in("d0")
		from := s.between(0, 12*time.Second)
		side, out := s.IntN(2) == 0, during(from, from+s.between(10*time.Second, 16*time.Second))
		f.paused = func(t time.Duration, i int) bool { return first(i) == side && out(t) }
		return f
	}},
	{name: "one side paused", hopeless: true, draw: func(s *sketch) faults {
		first, on := s.in("d0"), during(0, s.between(shortestFault, longestFault))
		return faults{paused: func(t time.Duration, i int) bool { return first(i) && on(t) }}
	}},
}

// flaps is a cut that comes for up to longestFault and goes for long enough that
// everybody is heard.
func (s *sketch) flaps() func(time.Duration, int) bool {
	var on []func(time.Duration) bool
	for at := time.Duration(0); at < faultLimit; {
		end := at + s.between(2*time.Second, longestFault)
		on = append(on, during(at, end))
		at = end + s.between(6*time.Second, 20*time.Second)
	}
	return func(t time.Duration, _ int) bool {
		return slices.ContainsFunc(on, func(f func(time.Duration) bool) bool { return f(t) })
	}
}

// pauses has each member pause now and then.
func (s *sketch) pauses(longest time.Duration) func(time.Duration, int) bool {
	at := make([]time.Duration, len(s.members))
	length := make([]time.Duration, len(s.members))
	for i := range at {
		at[i], length[i] = s.between(0, longestFault), s.between(0, longest)
	}
	return func(t time.Duration, i int) bool { return t >= at[i] && t < at[i]+length[i] }
}
