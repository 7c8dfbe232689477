package wire

import (
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
)

// kinds has one value of every message type; TestEveryMessageHasAnEncoding
// compares it with the source of the message package.
var kinds = []message.Message{
	message.Submit{}, message.Answer{}, message.Cancel{}, message.Bar{}, message.BarReply{},
	message.ClaimAsk{}, message.ClaimReply{}, message.PullAsk{}, message.PullReply{},
	message.RosterAsk{}, message.RosterReply{}, message.Assign{}, message.Report{},
	message.TaskQuery{}, message.Drop{}, message.Drops{}, message.LoadNews{}, message.DeclarationAsk{},
	message.DeclarationReply{}, message.Stop{}, message.StopReply{},
	message.HandOver{}, message.HandOverReply{},
}

func TestEveryMessageHasAnEncoding(t *testing.T) {
	is := is.New(t)
	have := map[string]bool{}
	for _, m := range kinds {
		have[reflect.TypeOf(m).Name()] = true
		e, err := Encode(m)
		is.NoErr(err)
		_, err = Decode(e)
		is.NoErr(err)
	}
	sources, err := filepath.Glob("../../coordination/message/*.go")
	is.NoErr(err)
	found := 0
	for _, source := range sources {
		for _, name := range messageTypes(t, source) {
			found++
			if !have[name] {
				t.Errorf("message.%s has no encoding", name)
			}
		}
	}
	is.Equal(found, len(kinds))
}

// messageTypes returns the receivers of the methods that make a Message.
func messageTypes(t *testing.T, source string) []string {
	f, err := parser.ParseFile(token.NewFileSet(), source, nil, 0)
	is.New(t).NoErr(err)
	var names []string
	for _, d := range f.Decls {
		if d, ok := d.(*ast.FuncDecl); ok && d.Name.Name == "message" && d.Recv != nil {
			names = append(names, d.Recv.List[0].Type.(*ast.Ident).Name)
		}
	}
	return names
}

// fill sets every field of v to a random value that the wire allows. Empty
// slices and maps stay nil: the wire doesn't tell the two apart. A field that
// a conversion forgets comes back as zero and fails the round trip.
func fill(t *rapid.T, v reflect.Value) {
	switch x := v.Addr().Interface().(type) {
	case *state.Outcome:
		*x = state.Outcome(rapid.IntRange(0, int(state.Unknown)).Draw(t, "outcome"))
		return
	case *state.Reason:
		// Others are read as undocumented: see reason_test.go.
		*x = rapid.SampledFrom(slices.Sorted(slices.Values(state.Reasons()))).Draw(t, "reason")
		return
	case *[]byte:
		*x = rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "bytes")
		return
	case *[]int:
		*x = rapid.SliceOfN(rapid.IntRange(0, state.MaxTasksPerJob-1), 1, 5).Draw(t, "indexes")
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(rapid.StringN(0, -1, state.MaxIDLength).Draw(t, "string"))
	case reflect.Bool:
		v.SetBool(rapid.Bool().Draw(t, "bool"))
	case reflect.Int:
		v.SetInt(rapid.Int64Range(0, state.MaxTasksPerJob-1).Draw(t, "int"))
	case reflect.Int64:
		v.SetInt(rapid.Int64Range(0, math.MaxInt64).Draw(t, "int64"))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(rapid.Uint64Max(1<<v.Type().Bits()-1).Draw(t, "uint"))
	case reflect.Float64:
		v.SetFloat(rapid.Float64Range(0, 1e9).Draw(t, "float"))
	case reflect.Array, reflect.Struct:
		fillParts(t, v)
	case reflect.Slice:
		if n := rapid.IntRange(0, 4).Draw(t, "length"); n > 0 {
			v.Set(reflect.MakeSlice(v.Type(), n, n))
			fillParts(t, v)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, key)
		fill(t, value)
		v.SetMapIndex(key, value)
	default:
		t.Fatalf("no generator for %s", v.Type())
	}
}

func fillParts(t *rapid.T, v reflect.Value) {
	if v.Kind() == reflect.Struct {
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
		return
	}
	for i := range v.Len() {
		fill(t, v.Index(i))
	}
}

func TestRoundTrip(t *testing.T) {
	for _, kind := range kinds {
		t.Run(reflect.TypeOf(kind).Name(), rapid.MakeCheck(func(t *rapid.T) {
			v := reflect.New(reflect.TypeOf(kind)).Elem()
			fill(t, v)
			align(v.Addr().Interface())
			want := v.Interface().(message.Message)
			got, err := overTheWire(want)
			if err != nil {
				t.Fatalf("%+v", err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("got %#v, want %#v", got, want)
			}
		}))
	}
}

// align gives lists that stand side by side the same length.
func align(m any) {
	switch m := m.(type) {
	case *message.Assign:
		n := min(len(m.Indexes), len(m.Tasks))
		m.Indexes, m.Tasks = cut(m.Indexes, n), cut(m.Tasks, n)
		m.Tries = fit(m.Tries, n)
	case *message.Report:
		m.Tries = fit(m.Tries, len(m.Refused))
	case *message.TaskQuery:
		m.Tries = fit(m.Tries, len(m.Indexes))
	case *message.Drop:
		m.Tries = fit(m.Tries, len(m.Indexes))
	case *message.Drops:
		for i := range m.Jobs {
			align(&m.Jobs[i])
		}
	}
}

func cut[T any](in []T, n int) []T {
	if n == 0 {
		return nil
	}
	return in[:n:n]
}

// fit repeats tries to n, or leaves them out where there were none.
func fit(tries []uint32, n int) []uint32 {
	if len(tries) == 0 {
		return nil
	}
	return cut(slices.Repeat(tries, n), n)
}

func overTheWire(m message.Message) (message.Message, error) {
	e, err := Encode(m)
	if err != nil {
		return nil, err
	}
	b, err := proto.Marshal(e)
	if err != nil {
		return nil, err
	}
	back := &nodepb.Envelope{}
	if err := proto.Unmarshal(b, back); err != nil {
		return nil, err
	}
	return Decode(back)
}

func TestEncodeRefuses(t *testing.T) {
	long := strings.Repeat("x", state.MaxIDLength+1)
	for name, m := range map[string]message.Message{
		"nil":               nil,
		"pointer":           &message.Drop{},
		"long id":           message.Drop{Key: state.JobKey{ID: long}},
		"not UTF-8":         message.Drop{Key: state.JobKey{ID: "\xff"}},
		"negative deadline": message.Submit{Deadline: -time.Second},
		"too many tasks":    message.Submit{Job: state.Job{Tasks: make([]state.Task, state.MaxTasksPerJob+1)}},
		"NaN cores":         message.Submit{Job: state.Job{Tasks: []state.Task{{Cores: math.NaN()}}}},
		"index too high":    message.TaskQuery{Indexes: []int{state.MaxTasksPerJob}},
		"negative index":    message.Report{Results: []state.TaskResult{{Index: -1}}},
		"side by side":      message.Assign{Indexes: []int{1, 2}, Tasks: make([]state.Task, 1)},
		"tries":             message.Drop{Indexes: []int{1}, Tries: []uint32{1, 2}},
		"negative credit":   message.Report{Credit: -1},
		"outcome":           message.Answer{Outcome: state.Unknown + 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Encode(m)
			is.True(err != nil)
		})
	}
}

func TestDecodeRefuses(t *testing.T) {
	for name, e := range map[string]*nodepb.Envelope{
		"record length": {Kind: &nodepb.Envelope_PullReply{PullReply: &nodepb.PullReply{Records: []*nodepb.Record{{Digest: make([]byte, 32)}}}}},
		"digest length": {Kind: &nodepb.Envelope_Submit{Submit: &nodepb.Submit{Digest: make([]byte, 31)}}},
		"deadline":      {Kind: &nodepb.Envelope_Assign{Assign: &nodepb.Assign{DeadlineNs: -1}}},
		"index":         {Kind: &nodepb.Envelope_Report{Report: &nodepb.Report{Refused: []uint32{state.MaxTasksPerJob}}}},
		"outcome":       {Kind: &nodepb.Envelope_Answer{Answer: &nodepb.Answer{Outcome: 77}}},
		"side by side":  {Kind: &nodepb.Envelope_Assign{Assign: &nodepb.Assign{Tasks: []*nodepb.Task{{}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode(e)
			is.True(err != nil)
			is.True(!errors.Is(err, ErrUnknownKind))
		})
	}
	for _, e := range []*nodepb.Envelope{nil, {}} {
		_, err := Decode(e)
		is.New(t).True(errors.Is(err, ErrUnknownKind))
	}
}

// A backend server's message may hold any bytes. The job's owner must still get
// the result, so the text is repaired in place of losing the whole report.
func TestBrokenProseDoesNotLoseAResult(t *testing.T) {
	is := is.New(t)
	got, err := overTheWire(message.Report{Results: []state.TaskResult{{Err: "bad \xff byte"}}})
	is.NoErr(err)
	is.Equal(got.(message.Report).Results[0].Err, "bad \uFFFD byte")
}

// FuzzDecode feeds arbitrary bytes: whatever decodes must encode again.
func FuzzDecode(f *testing.F) {
	for _, m := range kinds {
		e, _ := Encode(m)
		b, _ := proto.Marshal(e)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		e := &nodepb.Envelope{}
		if proto.Unmarshal(b, e) != nil {
			return
		}
		m, err := Decode(e)
		if err != nil {
			return
		}
		if _, err := Encode(m); err != nil {
			t.Fatalf("decoded %#v, which doesn't encode: %v", m, err)
		}
	})
}

// During a rolling upgrade a pull may be answered by a node that still keeps whole
// ids. Its records must stand for the same claims: read as others, they would let
// the ids be granted again.
func TestRecordOfAnOlderNode(t *testing.T) {
	is := is.New(t)
	key := state.JobKey{Service: "s", ID: "job"}
	digest := state.Digest{1, 2, 3}
	e := &nodepb.Envelope{Kind: &nodepb.Envelope_PullReply{PullReply: &nodepb.PullReply{Records: []*nodepb.Record{{
		Key: &nodepb.JobKey{Service: key.Service, Id: key.ID}, Digest: digest[:], Holder: "a", Token: "t", AgeNs: 1,
	}}}}}
	m, err := Decode(e)
	is.NoErr(err)
	is.Equal(m.(message.PullReply).Records, []message.Record{{
		ID: claim.IDOf(key), Content: claim.ContentOf(digest), Holder: "a", Age: 1,
	}})
}
