package main

import (
	"math/rand/v2"

	"github.com/shallotstep/shallotstep/standin/logserver"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// lateOffset is an offset of the roster's stream after years of service.
const lateOffset = 1_000_000

// measureRoster gives the record that stands for the whole roster. The cost of
// one join or eviction has benchmarks in state/roster.
func measureRoster(t *table) {
	r := roster.New()
	offset := int64(firstOffset)
	for _, m := range members() {
		r = mustApply(r, offset, encode(roster.Join{Member: m}))
		offset++
	}
	addGuarded(t, "shares that an agent guards", r)
	snap := r.Snapshot()
	for i := range snap.Pairs {
		for j := range snap.Pairs[i].Epochs {
			snap.Pairs[i].Epochs[j] += lateOffset
		}
	}
	snap.Through, snap.Epoch = lateOffset+r.Offset(), lateOffset+r.Epoch()
	data := encode(snap)
	t.add("join record", float64(len(encode(roster.Join{Member: newMember(0)}))), "B")
	t.add("evict record", float64(len(encode(roster.Evict{NodeID: newMember(0).ID, By: newMember(1).ID}))), "B")
	t.add("snapshot record", float64(len(data)), "B")
	t.add("snapshot, of the stand-in's largest record", float64(len(data))/logserver.DefaultMaxRecordBytes, "")
	t.add("longer by this much for each member, it no longer fits", float64(slack(snap)), "B")
	t.addCost("snapshot, encode", measure(10, func(int) { encode(snap) }))
	t.addCost("snapshot, read by a member", measure(10, func(int) {
		mustApply(r, r.Offset()+1, data)
	}))
	t.addCost("snapshot, adopted by a newcomer", measure(10, func(int) {
		mustApply(roster.New(), snap.Through+1, data)
	}))
}

// addGuarded counts the shares of which each agent of a region is home or
// witness: they decide how many claims it keeps.
func addGuarded(t *table, what string, r *roster.Roster) {
	guarded := make(map[state.NodeID]int)
	most := 0
	for share := range uint32(roster.Shares) {
		p := r.Pair(regionName(0), share)
		for _, id := range []state.NodeID{p.Home, p.Witness} {
			guarded[id]++
			most = max(most, guarded[id])
		}
	}
	t.add(what+", mean", 2*roster.Shares/float64(len(guarded)), "")
	t.add(what+", most", float64(most), "")
}

func mustApply(r *roster.Roster, offset int64, data []byte) *roster.Roster {
	next, _, err := r.Apply(offset, data)
	if err != nil {
		panic(err)
	}
	return next
}

// slack returns by how many bytes each member's names may grow until the
// snapshot is larger than the stand-in's largest record.
func slack(snap roster.Snapshot) int {
	longer := snap
	for n := 1; ; n++ {
		longer.Members = make([]state.Member, len(snap.Members))
		copy(longer.Members, snap.Members)
		for i := range longer.Members {
			longer.Members[i].ID += state.NodeID(unlike(i, n))
		}
		if len(encode(longer)) > logserver.DefaultMaxRecordBytes {
			return n
		}
	}
}

// unlike returns n letters that don't compress well and are the same in each run.
func unlike(i, n int) string {
	rng := rand.New(rand.NewPCG(uint64(i), uint64(n)))
	b := make([]byte, n)
	for j := range b {
		b[j] = 'a' + byte(rng.IntN(26))
	}
	return string(b)
}
