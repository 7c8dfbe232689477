package claim

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

var start = time.Unix(1_000_000, 0)

func key(id string) state.JobKey { return state.JobKey{Service: "bench", ID: id} }

func record(id string, holder state.NodeID, at time.Time) Record {
	return Record{ID: IDOf(key(id)), Content: Content{1}, Holder: holder, At: at}
}

// Two homes asked for one id, one of them in vain. The table can't know which,
// so both stay, and a repeated record from a pull adds nothing.
func TestEveryHolderIsKept(t *testing.T) {
	is := is.New(t)
	tbl := New(time.Hour, 3)
	tbl.Add(start, 7, record("a", "x", start))
	tbl.Add(start, 7, record("a", "y", start.Add(-time.Minute)))
	tbl.Add(start, 7, record("a", "x", start.Add(-time.Second)))
	got := tbl.Find(start, 7, IDOf(key("a")))
	is.Equal(len(got), 2)
	is.Equal(tbl.Size().Claims, 2)
	is.Equal(len(tbl.Find(start, 7, IDOf(key("b")))), 0)
}

// A claim must be seen for the whole of its retention, counted from when it was
// recorded anew, and its memory must be given back soon after.
func TestRetention(t *testing.T) {
	is := is.New(t)
	tbl := New(time.Hour, 3)
	tbl.Add(start, 7, record("a", "x", start))
	tbl.Add(start, 7, record("b", "x", start))
	half := start.Add(time.Hour / 2)
	tbl.Add(half, 7, record("a", "x", half))
	is.Equal(len(tbl.Find(start.Add(time.Hour-1), 7, IDOf(key("b")))), 1)
	is.Equal(len(tbl.Find(start.Add(time.Hour+tbl.Unit()), 7, IDOf(key("b")))), 0) // times are rounded up by less than a unit
	is.Equal(len(tbl.Find(start.Add(time.Hour), 7, IDOf(key("a")))), 1)
	tbl.Prune(half.Add(2*time.Hour), 7)
	is.Equal(tbl.Size(), Size{})
	tbl.Add(half, 7, record("c", "x", start.Add(-time.Hour)))
	is.Equal(tbl.Size(), Size{}) // too old when it came
}

// A pull reads a share in pages while claims are added. Every claim that was
// there when the pull began must be on one page.
func TestPagesCoverTheShare(t *testing.T) {
	is := is.New(t)
	tbl := New(time.Hour, 3)
	for i := range 1000 {
		tbl.Add(start, 7, record(fmt.Sprint(i), "x", start.Add(-time.Duration(i)*time.Second)))
	}
	seen := make(map[ID]int)
	cursor, pages := "", 0
	for {
		rs, next, err := tbl.Page(start, 7, cursor, 100)
		is.NoErr(err)
		for _, r := range rs {
			seen[r.ID]++
		}
		tbl.Add(start, 7, record(fmt.Sprint("new", pages), "x", start))
		pages++
		if cursor = next; next == "" {
			break
		}
	}
	is.Equal(pages, 11)
	is.True(len(tbl.shards[7].gens) <= generations) // whatever order the ages came in
	for i := range 1000 {
		is.Equal(seen[IDOf(key(fmt.Sprint(i)))], 1)
	}
	rs, next, err := tbl.Page(start, 7, ProbeCursor, 100)
	is.NoErr(err)
	is.Equal(len(rs)+len(next), 0)
	_, _, err = tbl.Page(start, 7, "x", 100)
	is.True(err != nil)
}

// BenchmarkAdd reports the memory of a claim, reckoned by the table and measured
// on the heap: 16 shares, ids of 20 bytes, holders as long as ids of nodes are.
func BenchmarkAdd(b *testing.B) {
	tbl := New(10*time.Minute, 3)
	before := heap()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r := record(fmt.Sprintf("%020d", i), "cv37rs3pp9olc6atsvt0", start)
		tbl.Add(start, uint32(i%16), r)
		i++
	}
	b.ReportMetric(float64(tbl.Size().Bytes)/float64(i), "reckoned-bytes/claim")
	b.ReportMetric(float64(heap()-before)/float64(i), "heap-bytes/claim")
	runtime.KeepAlive(tbl)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFind is a lookup of an id that isn't there, the usual case.
// What a table says is what a map of the same claims says, in whatever order
// they come, through all sizes of a generation. Times are never rounded down: a
// claim would be forgotten before its retention is over.
func TestTableAgreesWithAMap(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	tbl := New(time.Hour, 3)
	want := make(map[Record]time.Time)
	ids := make(map[ID]string)
	for i := range 20_000 {
		name := fmt.Sprint(rng.IntN(8000))
		r := record(name, state.NodeID(rune('x'+rng.IntN(2))), time.Time{})
		r.Content[1] = byte(rng.IntN(2))
		if i%50 == 0 { // many IDs of one rank, at the end of the table
			r.ID = ID{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, byte(i >> 8), byte(i)}
		}
		ids[r.ID] = name
		at := start.Add(time.Duration(rng.Int64N(int64(50 * time.Minute))))
		if at.After(want[r]) {
			want[r] = at
		}
		r.At = at
		tbl.Add(at, 7, r)
	}
	now := start.Add(50 * time.Minute)
	seen := 0
	for id := range ids {
		for _, r := range tbl.newest(now, findLocked(&tbl.shards[7], &id)) {
			at := r.At
			r.At = time.Time{}
			is.True(!at.Before(want[r]) && at.Sub(want[r]) <= tbl.Unit())
			seen++
		}
	}
	is.Equal(seen, len(want))
	paged := 0
	for cursor := ""; ; {
		rs, next, err := tbl.Page(now, 7, cursor, 300)
		is.NoErr(err)
		paged += len(rs)
		if cursor = next; next == "" {
			break
		}
	}
	is.Equal(paged, len(want))
}

func BenchmarkFind(b *testing.B) {
	tbl := New(10*time.Minute, 3)
	for i := range 100_000 {
		at := start.Add(time.Duration(i) * 6 * time.Millisecond)
		tbl.Add(at, uint32(i%16), record(fmt.Sprintf("%020d", i), "cv37rs3pp9olc6atsvt0", at))
	}
	now := start.Add(10 * time.Minute)
	for b.Loop() {
		tbl.Find(now, 3, IDOf(key("absent")))
	}
}

// BenchmarkIDOf is the hash that each claim and lookup begins with.
func BenchmarkIDOf(b *testing.B) {
	k := key("00000000000000000001")
	b.ReportAllocs()
	for b.Loop() {
		IDOf(k)
	}
}
