package claim

import (
	"bytes"
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ProbeCursor asks for a page with no claims on it.
const ProbeCursor = "1/1"

// ErrBadCursor is the cause of a failure to read a page's cursor.
var ErrBadCursor = errors.New("bad cursor")

// Page returns a part of the share's claims, about most of them, and the cursor
// of the next part; it is empty with the last one. The first cursor is empty.
//
// Parts are told apart by the IDs' ranks, so that a claim which is there all
// the while is in the page of its rank, whatever comes and goes between pages.
func (t *Table) Page(now time.Time, share uint32, cursor string, most int) ([]Record, string, error) {
	s := &t.shards[share]
	s.mu.Lock()
	defer s.mu.Unlock()
	t.pruneLocked(s, now)
	part, parts, err := t.parseLocked(s, cursor, most)
	if err != nil {
		return nil, "", err
	}
	if part >= parts {
		return nil, "", nil // a probe
	}
	var out []Record
	for _, g := range s.gens {
		out = g.part(uint64(part), uint64(parts), out)
	}
	out = t.newestSorted(now, out)
	if part+1 >= parts {
		return out, "", nil
	}
	return out, fmt.Sprintf("%d/%d", part+1, parts), nil
}

func (t *Table) parseLocked(s *shard, cursor string, most int) (part, parts int, err error) {
	if cursor == "" {
		return 0, sizeLocked(s)/max(most, 1) + 1, nil
	}
	_, err = fmt.Sscanf(cursor, "%d/%d", &part, &parts)
	if err != nil || part < 0 || parts < 1 || part >= parts && cursor != ProbeCursor {
		return 0, 0, errors.Wrapf(ErrBadCursor, "%q", cursor)
	}
	return part, parts, nil
}

func sizeLocked(s *shard) int {
	n := 0
	for _, g := range s.gens {
		n += g.count
	}
	return n
}

// part appends the claims whose rank falls in the part. It reads their stretch
// of the table and no more, so a share costs its size once, not once a page.
func (g *generation) part(part, parts uint64, out []Record) []Record {
	first, rest := bits.Div64(part, 0, parts)
	if rest > 0 {
		first++
	}
	g.each(g.place(first), func(c []byte) bool {
		at, _ := bits.Mul64(g.rank(c), parts)
		if at == part {
			out = append(out, g.read(c))
		}
		return at <= part
	})
	return out
}

// newestSorted is newest for claims of many ids. It sorts so that the same
// table gives the same page.
func (t *Table) newestSorted(now time.Time, found []Record) []Record {
	slices.SortFunc(found, compareRecords)
	out := found[:0]
	for _, r := range found {
		if now.Sub(r.At) >= t.retention {
			continue
		}
		if n := len(out); n > 0 && sameClaim(out[n-1:], r) == 0 {
			out[n-1] = r // sorted by age: r is the newer one
			continue
		}
		out = append(out, r)
	}
	return out
}

func compareRecords(a, b Record) int {
	return cmp.Or(
		bytes.Compare(a.ID[:], b.ID[:]),
		strings.Compare(string(a.Holder), string(b.Holder)),
		bytes.Compare(a.Content[:], b.Content[:]),
		a.At.Compare(b.At),
	)
}
