package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

var start = time.Unix(1_000_000, 0)

func record(id string, holder state.NodeID, at time.Time) Record {
	return Record{Key: state.JobKey{Service: "bench", ID: id}, Holder: holder, Token: "1", At: at}
}

// Two homes asked for one id, one of them in vain. The table can't know which,
// so both stay, and a repeated record from a pull adds nothing.
func TestEveryHolderIsKept(t *testing.T) {
	is := is.New(t)
	tbl := New(time.Hour)
	tbl.Add(start, 7, record("a", "x", start))
	tbl.Add(start, 7, record("a", "y", start.Add(-time.Minute)))
	tbl.Add(start, 7, record("a", "x", start.Add(-time.Second)))
	got := tbl.Find(start, 7, record("a", "", start).Key)
	is.Equal(len(got), 2)
	is.Equal(tbl.Size().Claims, 2)
	is.Equal(len(tbl.Find(start, 7, record("b", "", start).Key)), 0)
}

// A claim must be seen for the whole of its retention, counted from when it was
// recorded anew, and its memory must be given back soon after.
func TestRetention(t *testing.T) {
	is := is.New(t)
	tbl := New(time.Hour)
	tbl.Add(start, 7, record("a", "x", start))
	tbl.Add(start, 7, record("b", "x", start))
	half := start.Add(time.Hour / 2)
	tbl.Add(half, 7, record("a", "x", half))
	is.Equal(len(tbl.Find(start.Add(time.Hour-1), 7, record("b", "", start).Key)), 1)
	is.Equal(len(tbl.Find(start.Add(time.Hour), 7, record("b", "", start).Key)), 0)
	is.Equal(len(tbl.Find(start.Add(time.Hour), 7, record("a", "", start).Key)), 1)
	tbl.Prune(half.Add(2*time.Hour), 7)
	is.Equal(tbl.Size(), Size{})
	tbl.Add(half, 7, record("c", "x", start.Add(-time.Hour)))
	is.Equal(tbl.Size(), Size{}) // too old when it came
}

// A pull reads a share in pages while claims are added. Every claim that was
// there when the pull began must be on one page.
func TestPagesCoverTheShare(t *testing.T) {
	is := is.New(t)
	tbl := New(time.Hour)
	for i := range 1000 {
		tbl.Add(start, 7, record(fmt.Sprint(i), "x", start.Add(-time.Duration(i)*time.Second)))
	}
	seen := make(map[string]int)
	cursor, pages := "", 0
	for {
		rs, next, err := tbl.Page(start, 7, cursor, 100)
		is.NoErr(err)
		for _, r := range rs {
			seen[r.Key.ID]++
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
		is.Equal(seen[fmt.Sprint(i)], 1)
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
	tbl := New(10 * time.Minute)
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
func BenchmarkFind(b *testing.B) {
	tbl := New(10 * time.Minute)
	for i := range 100_000 {
		at := start.Add(time.Duration(i) * 6 * time.Millisecond)
		tbl.Add(at, uint32(i%16), record(fmt.Sprintf("%020d", i), "cv37rs3pp9olc6atsvt0", at))
	}
	key := record("absent", "", start).Key
	now := start.Add(10 * time.Minute)
	for b.Loop() {
		tbl.Find(now, 3, key)
	}
}
