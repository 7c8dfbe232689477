package roster

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// A fleet is half upgraded. The new nodes know questions and signs of life, to
// the old ones they are bad records. Did either kind take them for a change,
// the two halves would hold different rosters, and so different pairs.
func TestSignsOfLifeChangeNoRoster(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range 4 {
		r, _ = apply(t, r, Join{member(i, 2, 2)})
	}
	for _, rec := range []Record{Suspect{Region: "west", Group: "domain-0", By: "node-1"}, Alive{By: "node-0"}} {
		next, change := apply(t, r, rec)
		is.Equal(change.Kind, Kind(""))
		is.Equal(next.Epoch(), r.Epoch())
		is.Equal(next.Members(), r.Members())
		is.Equal(next.Pair("west", 7), r.Pair("west", 7))
		r = next
	}
	old, change, err := r.Apply(r.Offset()+1, []byte(`{"v":1,"kind":"of tomorrow","body":{}}`))
	is.True(errors.Is(err, ErrBadRecord))
	is.Equal(change.Kind, Kind(""))
	is.Equal(old.Offset(), r.Offset()+1)
	is.Equal(old.Members(), r.Members())
}
