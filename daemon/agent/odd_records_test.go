package agent

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/store"
)

var nested = strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)

// Guards against owners that end, or never open a shard, because of one odd record among its jobs.
func TestShardWithAnOddRecordIsServed(t *testing.T) {
	is := is.New(t)
	odd, err := proto.Marshal(&corepb.JobRecord{Spec: &corepb.Spec{Steps: []*corepb.Step{{Count: 1, DependsOn: []int32{5}}}}})
	is.NoErr(err)
	huge, err := proto.Marshal(&corepb.JobRecord{Spec: &corepb.Spec{Steps: []*corepb.Step{{Count: -7}}}})
	is.NoErr(err)
	st := &memberStore{records: []store.Record{
		{Key: "00000000000000a2", Value: odd}, {Key: "00000000000000a3", Value: huge}, {Key: "", Value: []byte("{")}, {Key: "x", Value: []byte(nested)},
		{Key: incarnationsKey, Value: []byte(nested)},
	}}
	st.holdElsewhere(t, 4)
	a := newMember(t, st)
	coretest.Await(t, a.owns(groupShard))
	is.Equal(a.lookup().Outcome, owner.OK)
	is.Equal(a.Pending("", nil).Count, 1)
}

// Guards against losing the incarnations of all agents, with which tasks that must not be repeated are started
// again, because of one odd entry.
func TestOddIncarnationKeepsTheOthers(t *testing.T) {
	is := is.New(t)
	r := &shardRunner{}
	got := r.decodeIncarnations([]byte(`{"a":[{"agent":"a/1","server":"i-1","started_ms":7}],"b":[{"agent":"b/1","started_ms":9223372036854775808}],"c":[7]}`))
	is.Equal(got["a"], []worker.Incarnation{{Agent: "a/1", Server: job.Instance{ID: "i-1", StartedMS: 7}}})
	for _, node := range []string{"b", "c"} {
		is.Equal(len(got[node]), 1)
		is.True(!worker.Incarnation{Agent: node + "/1"}.KnowsRunsOf(got[node][0]))
	}
}

// Guards against an agent that goes on with a capacity that overflows, from the notes of an earlier incarnation.
func TestNotesWithACapacityOutOfRangeAreNotUsed(t *testing.T) {
	for _, capacity := range []string{`{"CPUMillis":9223372036854775807,"MemoryMB":1}`, `{"CPUMillis":1000,"MemoryMB":-1}`} {
		var n notes
		if err := json.Unmarshal([]byte(`{"server":{"instance":"i-1","service":"desk","capacity":`+capacity+`}}`), &n); err != nil {
			t.Fatal(err)
		}
		if n.Server.usable() {
			t.Errorf("usable with the capacity %s", capacity)
		}
	}
}

// Guards against an agent that doesn't start because of odd notes.
func TestOddNotesAreIgnored(t *testing.T) {
	for _, value := range []string{nested, `{"owners":` + nested + `}`, `{"server":{"started_ms":9223372036854775808}}`, `{"server":{"speed":1e400}}`} {
		is := is.New(t)
		a := New(groupSettings(), &memberStore{calls: map[string]int{}, records: []store.Record{{Key: "a", Value: []byte(value)}}}, core.DrainSource{}, nil)
		stored, err := a.readNotes(t.Context())
		is.NoErr(err)
		is.True(!stored.hasNotes)
	}
}
