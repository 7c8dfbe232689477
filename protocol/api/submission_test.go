package api

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const validJob = `{"id":"j1","deadline_ms":2500,"tasks":[
  {"payload": {"doll": 7},"cores":0.5,"memory_mb":64,"accelerators":1,"expected_ms":120},
  {"payload":"x"}]}`

func tasks(n int) string {
	return `{"id":"j1","tasks":[` + strings.TrimSuffix(strings.Repeat(`{"payload":1},`, n), ",") + `]}`
}

// A body that two programs could read differently, or whose numbers are beyond
// any worker, must be refused before anything is recorded. Otherwise it could
// start the wrong work, or the same work under two ids. Each line of
// testdata/refused.golden has a kind, a header key, a body and the expected
// detail.
func TestDecodeRefusesBadBodies(t *testing.T) {
	is := is.New(t)
	const file = "testdata/refused.golden"
	want, err := os.ReadFile(file)
	is.NoErr(err)
	var got strings.Builder
	for line := range strings.Lines(string(want)) {
		cells := strings.SplitN(strings.TrimSuffix(line, "\n"), "\t", 4)
		key, err := strconv.Unquote(cells[1])
		is.NoErr(err)
		body, err := strconv.Unquote(cells[2])
		is.NoErr(err)
		p := decodeAny(cells[0], key, []byte(body))
		if p == nil {
			t.Fatalf("accepted: %s", line)
		}
		is.Equal(p.Reason, state.ReasonMalformed)
		is.Equal(p.Status, http.StatusBadRequest)
		is.Equal(p.Outcome, state.NotRun)
		fmt.Fprintf(&got, "%s\t%s\t%s\t%s\n", cells[0], cells[1], cells[2], p.Detail)
	}
	if *update {
		is.NoErr(os.WriteFile(file, []byte(got.String()), 0o644))
	} else if got.String() != string(want) {
		t.Fatalf("differs from %s:\n%s", file, got.String())
	}
}

func decodeAny(kind, key string, body []byte) *Problem {
	if kind == "file" {
		_, p := DecodeFile("", body)
		return p
	}
	_, p := Decode(Kind(kind), "bench-desk", key, body)
	return p
}

func TestDecodeJobBounds(t *testing.T) {
	is := is.New(t)
	job, _, p := DecodeJob("s", "", []byte(tasks(state.MaxTasksPerJob)))
	is.True(p == nil)
	is.Equal(len(job.Tasks), state.MaxTasksPerJob)

	_, _, p = DecodeJob("s", "", []byte(tasks(state.MaxTasksPerJob+1)))
	is.Equal(p.Reason, state.ReasonTooManyTasks)
	is.Equal(p.Status, http.StatusRequestEntityTooLarge)
	is.Equal(p.Outcome, state.NotRun)

	large := validJob + strings.Repeat(" ", state.MaxBodyBytes)
	_, _, p = DecodeJob("s", "", []byte(large))
	is.Equal(p.Reason, state.ReasonTooLarge)
	is.Equal(p.Status, http.StatusRequestEntityTooLarge)

	_, _, p = DecodeJob("a/b", "", []byte(validJob))
	is.Equal(p.Reason, state.ReasonMalformed) // service name
	_, _, p = DecodeJob("s", strings.Repeat("a", state.MaxIDLength+1), []byte(`{"tasks":[{"payload":1}]}`))
	is.Equal(p.Detail, "id is longer than 128 bytes")
	_, _, p = DecodeJob("s", "", []byte(`{"tasks":[{"payload":`+strings.Repeat("[", 20000)))
	is.Equal(p.Reason, state.ReasonMalformed) // nested too deeply
}

func TestDecodeJobReadsAllFields(t *testing.T) {
	is := is.New(t)
	job, deadline, p := DecodeJob("bench-desk", "", []byte(validJob))
	is.True(p == nil)
	is.Equal(deadline, 2500*time.Millisecond)
	is.Equal(job.Key, state.JobKey{Service: "bench-desk", ID: "j1"})
	is.Equal(job.Tasks[0], state.Task{
		Payload: []byte(`{"doll": 7}`), Cores: 0.5, MemoryMB: 64, Accelerators: 1, Expected: 120 * time.Millisecond,
	})
	is.Equal(string(job.Tasks[1].Payload), `"x"`)
}

// A request without a "repeatable" field is not repeatable.
func TestDecodeRequest(t *testing.T) {
	is := is.New(t)
	for field, want := range map[string]bool{`"repeatable":true,`: true, `"repeatable":false,`: false, "": false} {
		sub, p := Decode(KindRequest, "s", "", []byte(`{"id":"q",`+field+`"task":{"payload":[1]}}`))
		is.True(p == nil)
		is.Equal(sub.Job.Repeatable, want)
		is.Equal(sub.RepeatableSet, field != "")
	}
}

func TestDecodeFile(t *testing.T) {
	is := is.New(t)
	for given, want := range map[string]string{"": "s", "other": "other"} {
		sub, p := DecodeFile(given, []byte(`{"service":"s","kind":"request","id":"q","task":{"payload":1}}`))
		is.True(p == nil)
		is.Equal(sub.Kind, KindRequest)
		is.Equal(sub.Job.Key, state.JobKey{Service: want, ID: "q"})
	}
}

// A decoded submission that is encoded by Body and decoded again must be the same
// job with the same digest. Otherwise a resubmission would be refused as another
// job under the same id.
func FuzzDecode(f *testing.F) {
	f.Add("", []byte(validJob))
	f.Add("k", []byte(`{"tasks":[{"payload":"\u003c"}]}`))
	f.Add("", []byte(`{"id":"q","repeatable":true,"deadline_ms":9,"task":{"payload":{"a":-0.0}, "cores":-0.0}}`))
	f.Add("", []byte(`{"id":"a/b","tasks":[{"payload":[[]],"cores":1e-7,"memory_mb":-0}]}`))
	f.Add("", []byte(`{"id":"j","id":"k"}`))
	f.Add("", []byte(tasks(3)))
	f.Fuzz(func(t *testing.T, key string, body []byte) {
		for kind, decode := range map[Kind]func(string, string, []byte) (state.Job, time.Duration, *Problem){
			KindJob: DecodeJob, KindRequest: DecodeRequest,
		} {
			job, deadline, p := decode("s", key, body)
			if p != nil {
				if p.Outcome != state.NotRun || p.Status < 400 {
					t.Fatalf("refused with an outcome other than not run or a status below 400: %v", p)
				}
				continue
			}
			again, deadlineAgain, p := decode("s", "", (&Submission{Kind: kind, Job: job, Deadline: deadline}).Body())
			if p != nil {
				t.Fatalf("re-encoded body refused: %v", p)
			}
			if !reflect.DeepEqual(job, again) || deadline != deadlineAgain || job.Digest() != again.Digest() {
				t.Fatalf("re-encoded body decodes to %+v, want %+v", again, job)
			}
		}
	})
}
