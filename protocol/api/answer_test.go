package api

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// A complete answer with too few results, too many, or one that is not JSON must
// be rejected: the caller gets a result for every task or an error.
func TestAnswerOfRejectsPartialResults(t *testing.T) {
	is := is.New(t)
	raw := func(values ...string) [][]byte {
		out := [][]byte{}
		for _, v := range values {
			out = append(out, []byte(v))
		}
		return out
	}
	a := state.Answer{Key: state.JobKey{ID: "j"}, Outcome: state.Complete}
	a.Results = raw(`{"a": "<"}`, "", `"c"`)
	doc, err := AnswerOf(a, 3)
	is.NoErr(err)
	body, err := EncodeDocument(doc)
	is.NoErr(err)
	is.Equal(string(body), `{"id":"j","outcome":"complete","results":[{"a":"<"},null,"c"],`+
		`"stats":{"longest_ms":0,"total_ms":0,"elapsed_ms":0}}`+"\n")

	for name, results := range map[string][][]byte{
		"none":     {},
		"short":    raw("1"),
		"too many": raw("1", "1", "1"),
		"no json":  raw("1", "{"),
	} {
		a.Results = results
		if _, err := AnswerOf(a, 2); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestProblemRoundTrip(t *testing.T) {
	is := is.New(t)
	a := state.Answer{
		Key: state.JobKey{ID: "j"}, Outcome: state.NotRun, Reason: state.ReasonQuota,
		Detail: "42 <ahead>", RetryAfter: 1200 * time.Millisecond,
	}
	p := ProblemOf(a)
	is.Equal(p.RetryAfterSeconds(), "2") // rounded up
	body, err := EncodeDocument(p)
	is.NoErr(err)
	var decoded Problem
	is.NoErr(json.Unmarshal(body, &decoded))
	is.Equal(decoded, *p)

	is.True(ProblemOf(state.Answer{Outcome: state.Complete}) == nil)
	is.True(ProblemOf(state.Answer{Outcome: state.Pending}) == nil)
	// A failed answer without a reason becomes an internal error, and a problem
	// document without an outcome is read as unknown. Neither is read as "not run".
	is.Equal(ProblemOf(state.Answer{Outcome: state.Failed}).Reason, state.ReasonInternal)
	is.NoErr(json.Unmarshal([]byte(`{"title":"Bad gateway"}`), &decoded))
	is.Equal(decoded.Outcome, state.Unknown)
}

func TestEveryReasonHasATitle(t *testing.T) {
	for _, r := range state.Reasons() {
		if titles[r] == "" {
			t.Errorf("no title for %s", r)
		}
	}
}

func TestETag(t *testing.T) {
	is := is.New(t)
	v, ok := ParseETag(ETag(17))
	is.True(ok)
	is.Equal(v, state.Version(17))
	for _, bad := range []string{"", "*", "17", `"17`, `W/"17"`, `"-1"`, `"+1"`, `"017"`, `"1","2"`, `"x"`} {
		_, ok := ParseETag(bad)
		is.True(!ok) // rejected
	}
}
