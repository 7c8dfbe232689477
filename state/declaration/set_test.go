package declaration

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A node that comes up when old records are gone, misses some, reads some twice
// and hears from peers that are behind must end with the same declarations as
// one that read everything, judge every apply alike, and never go back.
func TestNewcomerAgreesWithFullReader(t *testing.T) {
	gen := scripts()
	rapid.Check(t, func(t *rapid.T) {
		if err := check(gen.Draw(t, "script"), safeguards{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Each safeguard is needed: without it one of the scripts ends in another state
// or goes back. The first one found is logged.
func TestEachSafeguardIsNeeded(t *testing.T) {
	const scriptCount = 3000
	gen := scripts()
	tests := map[string]safeguards{
		"baseCheck":      {baseCheck: true},
		"replayCheck":    {replayCheck: true},
		"gapCheck":       {gapCheck: true},
		"refreshCurrent": {refreshCurrent: true},
		"refreshReach":   {refreshReach: true},
		"ownerCheck":     {ownerCheck: true},
		"regionCheck":    {regionCheck: true},
		"operatorCount":  {operatorCount: true},
		"forwardOnly":    {forwardOnly: true},
	}
	for name, off := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range scriptCount {
				if err := check(gen.Example(seed), off); err != nil {
					t.Logf("script %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("%d scripts without %s, and none noticed", scriptCount, name)
		})
	}
}

// Two clerks of one operator apply against the same version. The log has one
// order, so one wins and the other is told whose version stands.
func TestRaceHasOneWinner(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	apply := func(offset int64, id string) Event {
		st := step{services: []int{0}}
		rec := Record{Kind: KindApply, Operator: "op0", ApplyID: id, File: st.file(id)}
		data, err := rec.Encode()
		is.NoErr(err)
		ev, err := s.Apply(offset, data)
		is.NoErr(err)
		return ev
	}
	is.Equal(apply(1, "first").Verdict, VerdictAccepted)
	ev := apply(2, "second")
	is.Equal(ev.Verdict, VerdictRefused)
	is.Equal(string(ev.Reason), "lost_race")
	cur, _ := s.Operator("op0")
	is.Equal(cur.ApplyID, "first")
	known, ok := s.Outcome("second")
	is.True(ok)
	is.Equal(known.Verdict, VerdictRefused)
	is.Equal(len(s.History("op0")), 2)
}
