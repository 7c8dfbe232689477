package agent

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/job"
)

// The list of incarnations must reach the next owner as it was written. If it did not, a forgotten
// run would be started again.
func TestIncarnationsSurviveTheStore(t *testing.T) {
	is := is.New(t)
	r := newTestRunner(coretest.RejectingStore{})
	want := map[string][]worker.Incarnation{
		"a": {{Agent: "a/1", Server: job.Instance{ID: "s-1", StartedMS: 1_700_000_000_000}}, {Agent: "a/2"}},
		"b": {{Agent: "b/1", Server: job.Instance{ID: "s-2"}}},
	}
	records, err := r.encode(&owner.Batch{Agents: []string{"a", "b"}, Incarnations: want})
	is.NoErr(err)
	is.Equal(len(records), 2)
	is.Equal(records[1].Key, incarnationsKey)
	is.Equal(r.decodeIncarnations(records[1].Value), want)
	is.Equal(r.decodeIncarnations([]byte(`[]`)), nil)
}
