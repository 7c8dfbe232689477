package claim

import (
	"bytes"
	"encoding/binary"
	"math/bits"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// Layout of a cell.
const (
	offContent = IDLength
	offHolder  = offContent + ContentLength // number in names, from 1; 0 in an empty cell
	offAt      = offHolder + 2              // units after the generation's start, rounded up
	cellSize   = offAt + 2
)

const (
	// grantedBit marks a holder's own record of a claim that it was granted.
	grantedBit = 1 << 15
	maxNames   = grantedBit - 1
	// maxUnits is the largest time that a cell can hold.
	maxUnits = 1<<16 - 1
)

// Growth of a generation: it is laid out anew, a quarter larger, when nine
// tenths of its places are taken. Smaller steps save memory and copy more.
const (
	firstPlaces = 8
	growthPart  = 4
	fullParts   = 9
	ofParts     = 10
	sparePart   = 64
	spareCells  = 2
)

// generation holds the claims recorded in one span of time. Its owner's lock
// guards it.
//
// The cells are one table, sorted by the rank of the ID: each claim stands at the place of its
// rank or in the run of filled cells behind it. So there is no index beside the
// cells, no pointer in them, and a part of all ids is one stretch of cells.
type generation struct {
	start time.Time
	unit  time.Duration
	seed  uint64
	cells []byte
	// places is how many cells ranks lead to. A few more stand behind them.
	places int
	// names holds each holder once. There are few.
	names []string
	// count is the number of claims in cells.
	count int
}

func newGeneration(start time.Time, unit time.Duration, seed uint64) *generation {
	return &generation{start: start, unit: unit, seed: seed}
}

func (g *generation) bytes() int {
	n := cap(g.cells)
	for _, s := range g.names {
		n += len(s)
	}
	return n
}

func (g *generation) full() bool { return len(g.names) >= maxNames }

func (g *generation) name(s state.NodeID) uint16 {
	for i, n := range g.names {
		if n == string(s) {
			return uint16(i + 1)
		}
	}
	g.names = append(g.names, string(s))
	return uint16(len(g.names))
}

func (g *generation) slots() int { return len(g.cells) / cellSize }

func (g *generation) cell(i int) []byte {
	return g.cells[i*cellSize : (i+1)*cellSize : (i+1)*cellSize]
}

func (g *generation) empty(i int) bool {
	return binary.LittleEndian.Uint16(g.cells[i*cellSize+offHolder:]) == 0
}

// place is the first cell where a claim of the rank may stand.
func (g *generation) place(rank uint64) int {
	hi, _ := bits.Mul64(rank, uint64(g.places))
	return int(hi)
}

// seek returns the first cell at or behind the ID's place that is empty or holds
// this ID or a later one.
func (g *generation) seek(id *ID) int {
	want := rank(id[:], g.seed)
	i := g.place(want)
	for ; i < g.slots() && !g.empty(i); i++ {
		c := g.cell(i)
		if at := g.rank(c); at > want || at == want && bytes.Compare(c[:IDLength], id[:]) >= 0 {
			break
		}
	}
	return i
}

// put records a claim. One of the same holder and content gets its time.
func (g *generation) put(r *Record) {
	holder := g.name(r.Holder)
	i := g.seek(&r.ID)
	for ; g.holds(i, &r.ID); i++ {
		c := g.cell(i)
		if Content(c[offContent:offHolder]) == r.Content && holderOf(c) == holder {
			g.write(c, r, holder)
			return
		}
	}
	g.write(g.open(i, &r.ID), r, holder)
	g.count++
}

func holderOf(c []byte) uint16 {
	return binary.LittleEndian.Uint16(c[offHolder:]) &^ grantedBit
}

func (g *generation) holds(i int, id *ID) bool {
	return i < g.slots() && !g.empty(i) && ID(g.cell(i)[:IDLength]) == *id
}

func (g *generation) write(c []byte, r *Record, holder uint16) {
	if r.Granted {
		holder |= grantedBit
	}
	units := (r.At.Sub(g.start) + g.unit - 1) / g.unit
	copy(c, r.ID[:])
	copy(c[offContent:], r.Content[:])
	binary.LittleEndian.PutUint16(c[offHolder:], holder)
	binary.LittleEndian.PutUint16(c[offAt:], uint16(min(units, maxUnits)))
}

// open makes room at cell i for the ID by moving the rest of the run on.
func (g *generation) open(i int, id *ID) []byte {
	if (g.count+1)*ofParts > g.places*fullParts {
		g.layOut(max(firstPlaces, g.places+g.places/growthPart))
		i = g.after(id)
	}
	end := i
	for end < g.slots() && !g.empty(end) {
		end++
	}
	if end == g.slots() {
		g.layOut(g.places)
		return g.open(g.after(id), id)
	}
	copy(g.cells[(i+1)*cellSize:(end+1)*cellSize], g.cells[i*cellSize:end*cellSize])
	return g.cell(i)
}

// after is the cell behind all claims of the ID.
func (g *generation) after(id *ID) int {
	i := g.seek(id)
	for g.holds(i, id) {
		i++
	}
	return i
}

// layOut moves all claims to a table with this many places.
func (g *generation) layOut(places int) {
	old := *g
	g.places = places
	next := 0
	old.each(0, func(c []byte) bool {
		next = max(next, g.place(g.rank(c))) + 1
		return true
	})
	slots := max(next, places) + spareCells + places/sparePart
	g.cells = make([]byte, slots*cellSize)
	next = 0
	old.each(0, func(c []byte) bool {
		next = max(next, g.place(g.rank(c)))
		copy(g.cell(next), c)
		next++
		return true
	})
}

func (g *generation) rank(c []byte) uint64 { return rank(c, g.seed) }

// each calls f with the filled cells from cell i on, until it returns false.
func (g *generation) each(i int, f func(c []byte) bool) {
	for ; i < g.slots(); i++ {
		if !g.empty(i) && !f(g.cell(i)) {
			return
		}
	}
}

func (g *generation) read(c []byte) Record {
	units := binary.LittleEndian.Uint16(c[offAt:])
	return Record{
		ID:      ID(c[:IDLength]),
		Content: Content(c[offContent:offHolder]),
		Holder:  state.NodeID(g.names[holderOf(c)-1]),
		At:      g.start.Add(time.Duration(units) * g.unit),
		Granted: binary.LittleEndian.Uint16(c[offHolder:])&grantedBit != 0,
	}
}

// find appends the claims of the ID to out.
func (g *generation) find(id *ID, out []Record) []Record {
	if g.count == 0 {
		return out
	}
	for i := g.seek(id); g.holds(i, id); i++ {
		out = append(out, g.read(g.cell(i)))
	}
	return out
}
