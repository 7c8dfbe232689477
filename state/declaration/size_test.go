package declaration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// An operator takes up new service names with every file, each as long as names
// may be. In the end the record that repeats its whole state would be larger than
// a record may be. Accepted, it could never be refreshed, and nobody who comes
// after the log's retention would ever have a complete view again. So the file
// that goes too far is refused, and whatever was accepted can be refreshed.
func TestWhatIsAcceptedCanBeRefreshed(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	long := func(kind string, i int) string {
		name := fmt.Sprintf("%s%d", kind, i)
		return name + strings.Repeat("x", state.MaxIDLength-len(name))
	}
	refused := false
	for offset := int64(1); !refused && offset < 40; offset++ {
		var services []string
		for i := range 60 {
			services = append(services, fmt.Sprintf(`{"name": %q, "region": %q}`, long("s", int(offset)*1000+i), long("r", 0)))
		}
		cur, _ := s.Operator("op")
		rec := Record{
			Kind: KindApply, Operator: "op", ApplyID: fmt.Sprint(offset), Base: cur.Version,
			File: fmt.Sprintf(`{"operator": "op", "quota": {"tasks_in_flight": 1, "tasks_per_second": 1}, "services": [%s]}`,
				strings.Join(services, ",")),
		}
		file, err := Parse("op", []byte(rec.File))
		is.NoErr(err)
		if reason, _ := s.CheckSize("op", file, rec.File); reason != state.ReasonNone {
			is.Equal(reason, state.ReasonTooLarge)
			refused = true
			continue
		}
		data, err := rec.Encode()
		is.NoErr(err)
		ev, err := s.Apply(offset, data)
		is.NoErr(err)
		is.Equal(ev.Verdict, VerdictAccepted)
		refresh, ok := s.Refresh("op")
		is.True(ok)
		_, err = refresh.Encode()
		is.NoErr(err)
		report, _ := s.Report("op")
		_, err = report.Encode()
		is.NoErr(err)
	}
	is.True(refused)
}
