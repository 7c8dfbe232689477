package core

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// An owner that doesn't learn which incarnation has answered its claim can't tell that the agent may
// have forgotten runs.
func TestIncarnationSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	c := worker.Claimed{
		Claim:       worker.Claim{Shard: 2, Epoch: 3, Session: 4},
		Incarnation: worker.Incarnation{Agent: "a/1", Server: job.Instance{ID: "s-1", StartedMS: 1_700_000_000_000}},
	}
	is.Equal(ClaimedFromWire(ClaimedToWire(&c)), c)
}
