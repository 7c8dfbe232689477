package roster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/shallotstep/shallotstep/state"
)

func member(i, domains, racks int) state.Member {
	return state.Member{
		ID:     state.NodeID(fmt.Sprintf("node-%d", i)),
		Region: "west",
		Domain: fmt.Sprintf("domain-%d", i%domains),
		Rack:   fmt.Sprintf("rack-%d", (i/domains)%racks),
	}
}

func apply(t interface{ Fatal(...any) }, r *Roster, rec Record) (*Roster, Change) {
	data, err := Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	next, change, err := r.Apply(r.Offset()+1, data)
	if err != nil {
		t.Fatal(err)
	}
	return next, change
}

// A claim survives a roster record only if the pair after it has a member of
// the pair before. So whatever joins, leaves and evictions the log holds, one
// record may exchange one member at most; and the pair kept up to date must be
// the one that a newcomer works out from the members alone.
func TestOneRecordChangesPairByOneMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		racks := rapid.IntRange(1, 2).Draw(t, "racks")
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			m := member(rapid.IntRange(0, 7).Draw(t, "node"), domains, racks)
			var rec Record = Join{Member: m}
			if rapid.Bool().Draw(t, "remove") {
				rec = Evict{NodeID: m.ID}
			}
			before := r
			var change Change
			r, change = apply(t, r, rec)
			checkChange(t, before, r, change)
		}
	})
}

func checkChange(t *rapid.T, before, after *Roster, change Change) {
	changed := make(map[uint32]bool)
	for _, c := range change.Shares {
		changed[c.Share] = true
	}
	for share := uint32(0); share < Shares; share += 13 {
		checkShare(t, before, after, share, changed[share])
	}
}

func checkShare(t *rapid.T, before, after *Roster, share uint32, changed bool) {
	p, q := before.Pair("west", share), after.Pair("west", share)
	if changed != (p != q) {
		t.Fatalf("share %d: %v became %v, reported %v", share, p, q, changed)
	}
	if p.OK && q.OK && !q.Has(p.Home) && !q.Has(p.Witness) {
		t.Fatalf("share %d: %v and %v have no member in common", share, p, q)
	}
	if p != q && q.Epoch != state.Epoch(after.Offset()) {
		t.Fatalf("share %d: epoch %d, changed at %d", share, q.Epoch, after.Offset())
	}
	reg := after.regions["west"]
	if reg == nil {
		return
	}
	home, witness := choose(reg.agents, share)
	if s := reg.slots[share]; s.home != home || s.witness != witness {
		t.Fatalf("share %d: slot %v differs from choice among all members", share, s.pair())
	}
	checkApart(t, reg, home, witness)
}

func checkApart(t *rapid.T, reg *region, home, witness *agent) {
	for _, a := range reg.agents {
		if a != home && apart(home, a) > apart(home, witness) {
			t.Fatalf("%v stands further from %v than %v", a.ID, home.ID, witness.ID)
		}
	}
}

// The log drops old records. A new node reads on from the middle and takes its
// roster from a snapshot. If an eviction slipped in before that snapshot, the
// node would count a dead agent in; it must wait for the next snapshot.
func TestSnapshotTakenOnlyWhenNothingSlippedIn(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range 5 {
		r, _ = apply(t, r, Join{Member: member(i, 3, 1)})
	}
	stale := r.Snapshot()
	evict, _ := Encode(Evict{NodeID: "node-1"})
	r, _ = apply(t, r, Evict{NodeID: "node-1"})
	late, _ := Encode(stale)
	r, _ = apply(t, r, stale)
	good, _ := Encode(r.Snapshot())
	r, change := apply(t, r, r.Snapshot())
	is.Equal(change, Change{}) // no effect on one who has read everything

	fresh, _, err := New().Apply(6, evict)
	is.NoErr(err)
	fresh, _, _ = fresh.Apply(7, late)
	is.True(!fresh.Rooted()) // the eviction at 6 is not in it
	blind, _, _ := New().Apply(7, late)
	is.True(!blind.Rooted()) // what stood at 6 was never read
	fresh, change, _ = fresh.Apply(8, good)
	is.Equal(change.Kind, KindSnapshot)
	is.Equal(fresh.Members(), r.Members())
	for share := range uint32(Shares) {
		is.Equal(fresh.Pair("west", share), r.Pair("west", share))
	}
}

func TestBadAndMissingRecords(t *testing.T) {
	is := is.New(t)
	r, _ := apply(t, New(), Join{Member: member(0, 1, 1)})
	for _, bad := range []string{"", "{}", `{"v":2,"kind":"join"}`, `{"v":1,"kind":"join","body":{}}`,
		`{"v":1,"kind":"snapshot","body":{"Members":[{"ID":"a","Region":"x"}]}}`} {
		next, change, err := r.Apply(r.Offset()+1, []byte(bad))
		is.Equal(errors.Cause(err), ErrBadRecord)
		is.Equal(change, Change{})
		is.Equal(next.Epoch(), r.Epoch())
		is.Equal(next.Offset(), r.Offset()+1)
		r = next
	}
	data, _ := Encode(Evict{NodeID: "node-0"})
	next, _, err := r.Apply(r.Offset()+2, data)
	is.Equal(errors.Cause(err), ErrGap)
	is.Equal(next, r)
}

func fleet(b testing.TB) *Roster {
	r := New()
	for i := range 990 {
		m := member(i, 4, 80)
		m.Region = fmt.Sprintf("region-%d", i%4/2)
		r, _ = apply(b, r, Join{Member: m})
	}
	return r
}

// BenchmarkJoin and BenchmarkEvict give the cost of one record at the size the
// users aim for: 990 members, 2 regions, 4 failure domains.
func BenchmarkJoin(b *testing.B) {
	r := fleet(b)
	for i := 0; b.Loop(); i++ {
		m := member(i+1000, 4, 80)
		m.Region = "region-0"
		apply(b, r, Join{Member: m})
	}
}

func BenchmarkEvict(b *testing.B) {
	r := fleet(b)
	rng := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		apply(b, r, Evict{NodeID: r.agents[rng.IntN(len(r.agents))].ID})
	}
}

// BenchmarkSpread reports how evenly shares fall on agents as homes.
func BenchmarkSpread(b *testing.B) {
	r := fleet(b)
	var most int
	for b.Loop() {
		homes := make(map[state.NodeID]int)
		for share := range uint32(Shares) {
			homes[r.Pair("region-0", share).Home]++
		}
		for _, n := range homes {
			most = max(most, n)
		}
	}
	b.ReportMetric(float64(most), "most-shares/home")
	b.ReportMetric(Shares/495.0, "mean-shares/home")
}

// The log, or whoever writes to it, cuts a snapshot short, changes a bit of it or
// makes one that grows without end. A newcomer must not take a part of a roster
// for the roster: its pairs would be nobody else's. It waits for the next one.
func TestDamagedSnapshotIsNotAdopted(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range 5 {
		r, _ = apply(t, r, Join{Member: member(i, 3, 1)})
	}
	good, err := Encode(r.Snapshot())
	is.NoErr(err)
	text := func(s string) []byte {
		return fmt.Appendf(nil, `{"v":1,"kind":"snapshot_packed","body":%s}`, s)
	}
	bad := [][]byte{
		text(`""`), text(`"AAAA"`), text(`{}`), text(`null`),
		text(string(pack(bytes.Repeat([]byte(" "), maxUnpacked+1)))),
		text(string(pack([]byte(`{"Pairs":[{"Region":"west","Epochs":[1]}]}`)))),
	}
	var e envelope
	is.NoErr(json.Unmarshal(good, &e))
	var packed []byte
	is.NoErr(json.Unmarshal(e.Body, &packed))
	for i := range packed {
		cut, _ := json.Marshal(packed[:i])
		bad = append(bad, text(string(cut)))
	}
	for i := 10; i < len(packed); i += 7 { // bytes 4 to 9 of the header carry nothing
		changed := bytes.Clone(packed)
		changed[i] ^= 1
		body, _ := json.Marshal(changed)
		bad = append(bad, text(string(body)))
	}
	for i, data := range bad {
		fresh, _, err := New().Apply(6, data)
		if err == nil && slices.Equal(fresh.Members(), r.Members()) {
			continue // a bit that pads the last byte: nothing is lost
		}
		if err == nil || fresh.Rooted() {
			t.Errorf("damage %d was taken for a roster", i)
		}
	}
	fresh, _, err := New().Apply(6, bad[0])
	is.True(err != nil)
	fresh, _, err = fresh.Apply(7, good)
	is.NoErr(err)
	is.Equal(fresh.Members(), r.Members()) // the next one serves
}

// Nodes of before wrote snapshots as they are; a newcomer takes those as well.
func TestPlainSnapshotIsAdopted(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range 5 {
		r, _ = apply(t, r, Join{Member: member(i, 3, 1)})
	}
	body, err := json.Marshal(r.Snapshot())
	is.NoErr(err)
	plain, err := json.Marshal(envelope{Version: Version, Kind: KindSnapshot, Body: body})
	is.NoErr(err)
	fresh, _, err := New().Apply(6, plain)
	is.NoErr(err)
	is.Equal(fresh.Members(), r.Members())
}
