package wire

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// A peer of another version, or one that has gone wrong, names reasons that this
// version doesn't know. They end as labels of metrics: each new word would be a
// series for ever, at the agent and at the entry that hears of it.
func TestUnknownReasonsOfPeersAreOneWord(t *testing.T) {
	is := is.New(t)
	key := state.JobKey{Service: "s", ID: "1"}
	for reason, want := range map[state.Reason]state.Reason{
		"made-up-1":      state.ReasonUndocumented,
		"made-up-2":      state.ReasonUndocumented,
		state.ReasonBusy: state.ReasonBusy,
		state.ReasonNone: state.ReasonNone,
	} {
		e, err := Encode(message.Answer{Key: key, Attempt: "e@1/1", Outcome: state.NotRun, Reason: reason})
		is.NoErr(err)
		msg, err := Decode(e)
		is.NoErr(err)
		is.Equal(msg.(message.Answer).Reason, want)
	}
}
