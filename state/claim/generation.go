package claim

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/state"
)

// Layout of a packed claim: fixed part, then id and token.
const (
	offPrev    = 0  // offset+1 of the previous claim with the same hash, or 0
	offAt      = 4  // milliseconds after the generation's start
	offService = 8  // number in names
	offHolder  = 10 // number in names
	offIDLen   = 12
	offTokLen  = 13
	offDigest  = 14
	sizeFixed  = offDigest + len(state.Digest{})
)

// Bounds of one generation; what doesn't fit opens another one.
const (
	maxBytes = 1 << 31
	maxNames = 1 << 16
)

// indexBytes is what one entry of the index takes: what BenchmarkAdd measured on
// the heap beyond the packed bytes, at 62,500 claims a share.
const indexBytes = 38

// generation holds the claims recorded in one span of time. Its owner's lock
// guards it.
type generation struct {
	start time.Time
	buf   []byte
	// index leads from a key's hash to the offset of its last claim.
	index map[uint64]uint32
	// names holds each service and holder once. There are few.
	names []string
	// count is the number of claims in buf.
	count int
}

func newGeneration(start time.Time) *generation {
	return &generation{start: start, index: make(map[uint64]uint32)}
}

func hashOf(key state.JobKey) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key.Service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key.ID)
	return d.Sum64()
}

func (g *generation) bytes() int {
	n := cap(g.buf) + len(g.index)*indexBytes
	for _, s := range g.names {
		n += len(s)
	}
	return n
}

func (g *generation) full() bool {
	return len(g.buf) > maxBytes || len(g.names) >= maxNames-2
}

func (g *generation) name(s string) uint16 {
	for i, n := range g.names {
		if n == s {
			return uint16(i)
		}
	}
	g.names = append(g.names, s)
	return uint16(len(g.names) - 1)
}

func (g *generation) add(hash uint64, r Record) {
	at := len(g.buf)
	var prev uint32
	if last, ok := g.index[hash]; ok {
		prev = last + 1
	}
	var fixed [sizeFixed]byte
	binary.LittleEndian.PutUint32(fixed[offPrev:], prev)
	binary.LittleEndian.PutUint32(fixed[offAt:], uint32(r.At.Sub(g.start)/time.Millisecond))
	binary.LittleEndian.PutUint16(fixed[offService:], g.name(r.Key.Service))
	binary.LittleEndian.PutUint16(fixed[offHolder:], g.name(string(r.Holder)))
	fixed[offIDLen] = byte(len(r.Key.ID))
	fixed[offTokLen] = byte(len(r.Token))
	copy(fixed[offDigest:], r.Digest[:])
	g.buf = append(g.buf, fixed[:]...)
	g.buf = append(g.buf, r.Key.ID...)
	g.buf = append(g.buf, r.Token...)
	g.index[hash] = uint32(at)
	g.count++
}

// read returns the claim at the offset and the offset behind it.
func (g *generation) read(at int) (r Record, next int) {
	b := g.buf[at:]
	id := sizeFixed + int(b[offIDLen])
	end := id + int(b[offTokLen])
	ms := binary.LittleEndian.Uint32(b[offAt:])
	r.At = g.start.Add(time.Duration(ms) * time.Millisecond)
	r.Key.Service = g.names[binary.LittleEndian.Uint16(b[offService:])]
	r.Key.ID = string(b[sizeFixed:id])
	r.Holder = state.NodeID(g.names[binary.LittleEndian.Uint16(b[offHolder:])])
	r.Token = string(b[id:end])
	copy(r.Digest[:], b[offDigest:])
	return r, at + end
}

// find appends the claims of the key to out.
func (g *generation) find(hash uint64, key state.JobKey, out []Record) []Record {
	at, ok := g.index[hash]
	for ok {
		r, _ := g.read(int(at))
		if r.Key == key {
			out = append(out, r)
		}
		prev := binary.LittleEndian.Uint32(g.buf[at+offPrev:])
		at, ok = prev-1, prev != 0
	}
	return out
}
