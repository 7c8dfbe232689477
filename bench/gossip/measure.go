package main

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/member/watch"
	"github.com/shallotstep/shallotstep/state"
)

// giveUp is how long a drain may take to be known.
const giveUp = 2 * time.Minute

// result is what was measured of one way at one size.
type result struct {
	// most is the median time until 99 % know of a drain. nearly and all are the
	// longest times, over the drains, until 99.9 % and all do.
	most   time.Duration
	nearly time.Duration
	all    time.Duration
	// ageMedian and ageP99 are of the loads that nodes know of others in their
	// region; one that isn't known counts as giveUp.
	ageMedian time.Duration
	ageP99    time.Duration
	// silence is the longest time that a watcher didn't hear from its agent.
	silence time.Duration
	// sent and received are the means per node, peak the most that one node
	// sent and received together, in KB/s of 1000 bytes.
	sent     float64
	received float64
	peak     float64
	// core is the processor time per node, in percent of a core.
	core float64
}

func measure(w way, f fleet) result {
	s := newWorld(w, f)
	s.run(warmUp)
	var r result
	s.measureSteady(&r)
	s.measureDrains(w, &r)
	return r
}

func (s *world) measureSteady(r *result) {
	s.meter.reset()
	s.spent = 0
	watchers := s.watchers()
	var ages []time.Duration
	for end := s.now.Add(*steady); s.now.Before(end); {
		s.run(time.Second)
		ages = s.appendAges(ages)
		r.silence = max(r.silence, s.longestSilence(watchers))
	}
	slices.Sort(ages)
	r.ageMedian = ages[len(ages)/2]
	r.ageP99 = ages[len(ages)*99/100]
	seconds := steady.Seconds()
	nodes := float64(len(s.nodes))
	for i := range s.nodes {
		r.sent += float64(s.meter.sent[i]) / nodes / seconds / 1000
		r.received += float64(s.meter.received[i]) / nodes / seconds / 1000
		r.peak = max(r.peak, float64(s.meter.sent[i]+s.meter.received[i])/seconds/1000)
	}
	r.core = 100 * s.spent.Seconds() / seconds / nodes
}

func (s *world) watchers() [][]state.Member {
	out := make([][]state.Member, len(s.members))
	for i, m := range s.members {
		out[i] = watch.Watchers(m, watch.InRegion(s.members, m.Region), watch.Count)
	}
	return out
}

func (s *world) longestSilence(watchers [][]state.Member) time.Duration {
	longest := time.Duration(0)
	for i, list := range watchers {
		for _, w := range list {
			heard, ok := s.nodes[s.index[w.ID]].LastHeard(s.members[i].ID)
			if !ok {
				return giveUp
			}
			longest = max(longest, s.now.Sub(heard))
		}
	}
	return longest
}

// appendAges samples how old the loads are that some nodes know.
func (s *world) appendAges(ages []time.Duration) []time.Duration {
	const observers = 20
	for range observers {
		o := s.rng.IntN(len(s.nodes))
		for i := range s.members {
			if i == o || s.members[i].Region != s.members[o].Region {
				continue
			}
			heard, ok := s.nodes[o].LastHeard(s.members[i].ID)
			if !ok {
				ages = append(ages, giveUp)
				continue
			}
			ages = append(ages, s.now.Sub(heard))
		}
	}
	return ages
}

func (s *world) measureDrains(w way, r *result) {
	var most []time.Duration
	for range *drains {
		i := s.rng.IntN(len(s.nodes))
		if s.loads[i].Draining {
			continue
		}
		s.loads[i].Draining = true
		s.loads[i].Seq++
		s.nodes[i].SetOwn(s.now, s.loads[i])
		k := s.timeUntilKnown(w, i)
		most = append(most, k.most)
		r.nearly = max(r.nearly, k.nearly)
		r.all = max(r.all, k.all)
		s.run(2 * time.Second)
	}
	slices.Sort(most)
	r.most = most[len(most)/2]
}

// knownAfter is when 99 %, 99.9 % and all of those concerned know of a drain.
type knownAfter struct {
	most, nearly, all time.Duration
}

// timeUntilKnown runs until all of those concerned know that an agent drains.
func (s *world) timeUntilKnown(w way, agent int) knownAfter {
	began := s.now
	id, region := s.members[agent].ID, s.members[agent].Region
	var waiting []int
	for i := range s.nodes {
		if i != agent && (w.everywhere || s.members[i].Region == region) {
			waiting = append(waiting, i)
		}
	}
	concerned := len(waiting)
	k := knownAfter{giveUp, giveUp, giveUp}
	for k.all == giveUp && s.now.Sub(began) < giveUp {
		s.step()
		waiting = slices.DeleteFunc(waiting, func(i int) bool {
			load, ok := s.nodes[i].Load(id)
			return ok && load.Draining
		})
		passed := s.now.Sub(began)
		if 100*len(waiting) <= concerned {
			k.most = min(k.most, passed)
		}
		if 1000*len(waiting) <= concerned {
			k.nearly = min(k.nearly, passed)
		}
		if len(waiting) == 0 {
			k.all = passed
		}
	}
	return k
}
