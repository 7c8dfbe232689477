package wire

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
	"github.com/shallotstep/shallotstep/state"
)

// A rolling upgrade has daemons of two versions on one link for a while. These
// tests make up what a newer one could send and look at what this one reads.

// newerField and newerKind are numbers that this version doesn't use.
const (
	newerField = 900
	newerKind  = 901
)

// invented is what a newer version could have added to any message.
func invented() []byte {
	var b []byte
	b = protowire.AppendTag(b, newerField, protowire.BytesType)
	b = protowire.AppendString(b, "hold the tasks until I say so")
	b = protowire.AppendTag(b, newerField+5, protowire.VarintType)
	b = protowire.AppendVarint(b, 42)
	b = protowire.AppendTag(b, newerField+6, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, 7)
}

// envelopeOf writes an envelope with one kind, given by its number and content.
func envelopeOf(number protowire.Number, content []byte) []byte {
	b := protowire.AppendTag(nil, number, protowire.BytesType)
	return protowire.AppendBytes(b, content)
}

func read(t *testing.T, raw []byte) (message.Message, error) {
	t.Helper()
	var e nodepb.Envelope
	if err := proto.Unmarshal(raw, &e); err != nil {
		t.Fatal(err)
	}
	return Decode(&e)
}

// A newer peer sends a kind of message that this version has never heard of,
// between two that it knows. It is refused as unknown and not taken for another
// kind; the two are read. The peer's link lives on, as each envelope is by itself.
func TestNewerKindIsRefusedAlone(t *testing.T) {
	is := is.New(t)
	known := message.Cancel{Key: state.JobKey{Service: "s", ID: "j"}, Attempt: "a"}
	e, err := Encode(known)
	is.NoErr(err)
	raw, err := proto.Marshal(e)
	is.NoErr(err)
	var frame []byte
	for _, envelope := range [][]byte{raw, envelopeOf(newerKind, invented()), raw} {
		frame = protowire.AppendTag(frame, 2, protowire.BytesType)
		frame = protowire.AppendBytes(frame, envelope)
	}
	var f nodepb.Frame
	is.NoErr(proto.Unmarshal(frame, &f))
	is.Equal(len(f.GetMessages()), 3)
	for i, e := range f.GetMessages() {
		got, err := Decode(e)
		if i == 1 {
			is.True(errors.Is(err, ErrUnknownKind))
			continue
		}
		is.NoErr(err)
		is.Equal(got, known)
	}
}

// A newer peer has added fields to messages that this version knows. They are
// passed over, and what this version knows is read as it was sent.
func TestNewerFieldsArePassedOver(t *testing.T) {
	for _, m := range kinds {
		t.Run(reflect.TypeOf(m).Name(), func(t *testing.T) {
			is := is.New(t)
			e, err := Encode(m)
			is.NoErr(err)
			raw, err := proto.Marshal(e)
			is.NoErr(err)
			number, _, n := protowire.ConsumeTag(raw)
			content, _ := protowire.ConsumeBytes(raw[n:])
			want, err := read(t, raw)
			is.NoErr(err)
			got, err := read(t, append(envelopeOf(number, append(content, invented()...)), invented()...))
			is.NoErr(err)
			is.Equal(got, want)
		})
	}
}

// A newer peer uses values that this version has no name for. An outcome is
// refused: taken for a known one it could tell a caller that its job did not run.
// A reason is only a word, and all that have no name here are read as one.
func TestNewerValues(t *testing.T) {
	is := is.New(t)
	for _, outcome := range []uint32{uint32(state.Unknown) + 1, 1 << 20} {
		_, err := Decode(&nodepb.Envelope{Kind: &nodepb.Envelope_Answer{Answer: &nodepb.Answer{Outcome: outcome}}})
		is.True(err != nil)
	}
	m, err := Decode(&nodepb.Envelope{Kind: &nodepb.Envelope_Answer{Answer: &nodepb.Answer{
		Outcome: uint32(state.Failed), Reason: "burnt",
	}}})
	is.NoErr(err)
	is.Equal(m.(message.Answer).Reason, state.ReasonUndocumented)
}

// A newer version has given a kind's number another form. Nothing of it is read
// as the old kind.
func TestKindOfAnotherFormIsRefused(t *testing.T) {
	for number := protowire.Number(1); number <= protowire.Number(len(kinds)); number++ {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			raw := protowire.AppendTag(nil, number, protowire.VarintType)
			_, err := read(t, protowire.AppendVarint(raw, 1))
			is.New(t).True(errors.Is(err, ErrUnknownKind))
		})
	}
}
