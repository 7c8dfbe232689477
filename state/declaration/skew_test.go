package declaration

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// skew is a stream as an old process and a new one read it in a rolling upgrade:
// the new one knows what the third record means, and here that is another
// apply, which the old one can't read.
func skew(t *testing.T, newer string) (old, young *Set) {
	is := is.New(t)
	c := &crowd{first: 1}
	s := step{operator: 1, services: []int{0}}
	p := c.newProcess()
	c.apply(p, &s)
	c.read(p, all)
	c.apply(p, &s)
	c.read(p, all)
	old, young = p.set, NewSet()
	for i, data := range c.records {
		_, _ = young.Apply(int64(i+1), data)
	}
	known := Record{Kind: KindApply, Operator: "op1", ApplyID: "new", Base: 2, File: s.file("new")}
	data, err := known.Encode()
	is.NoErr(err)
	_, err = young.Apply(3, data)
	is.NoErr(err)
	ev, err := old.Apply(3, []byte(newer))
	is.NoErr(err)
	is.Equal(ev.Verdict, VerdictUnreadable)
	return old, young
}

// newerRecords are of a format after this one: with fields of another type, with
// the fields of today, and of a kind that nobody knows yet.
var newerRecords = map[string]string{
	"fields of other types": `{"format": 2, "kind": "apply", "operator": {"name": "op1"}, "apply_id": 7}`,
	"fields of today":       `{"format": 2, "kind": "apply", "operator": "op1", "apply_id": "new", "base": 2, "file": "{}"}`,
	"another kind":          `{"kind": "merge", "operator": "op1", "apply_id": "new"}`,
}

// An old process meets a record that only a new one can read. Skipped like
// garbage, it would leave the old one with another version in force, and it would
// accept the next apply against that, which all new ones refuse. Instead it keeps
// what is in force, says that its view is not complete, judges nothing, takes
// newer versions from peers, and has a complete view again with the next
// refreshes.
func TestRecordOfANewerFormat(t *testing.T) {
	for name, newer := range newerRecords {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			old, young := skew(t, newer)
			cur, _ := old.Operator("op1")
			is.Equal(cur.Version, state.Version(2)) // stays
			is.True(!old.Complete())

			s := step{operator: 1, services: []int{0}}
			stale := Record{Kind: KindApply, Operator: "op1", ApplyID: "stale", Base: 2, File: s.file("stale")}
			data, err := stale.Encode()
			is.NoErr(err)
			ev, _ := old.Apply(4, data)
			is.Equal(ev.Verdict, VerdictUndecided)
			ev, _ = young.Apply(4, data)
			is.Equal(ev.Verdict, VerdictRefused)

			now, _ := young.Operator("op1")
			merged, err := old.MergePeer(message.DeclarationRecord{
				Operator: "op1", Version: now.Version, ApplyID: now.ApplyID, File: []byte(now.Raw),
			})
			is.NoErr(err)
			is.True(merged)
			refresh, ok := young.Refresh("op1")
			is.True(ok)
			data, err = refresh.Encode()
			is.NoErr(err)
			_, _ = old.Apply(5, data)
			_, _ = young.Apply(5, data)
			is.True(old.Complete())
			is.Equal(old.Digest(), young.Digest())
			is.NoErr(alike(old.ledger, young.ledger))
		})
	}
}

// The safeguard out: the old process skips the record, accepts what the new one
// refuses, and they disagree on what is in force.
func TestSkippedNewerRecordSplitsTheFleet(t *testing.T) {
	is := is.New(t)
	s := step{operator: 1, services: []int{0}}
	c := &crowd{first: 1, off: safeguards{newerFormat: true}}
	p := c.newProcess()
	c.apply(p, &s)
	c.read(p, all)
	_, err := p.set.Apply(2, []byte(newerRecords["fields of today"]))
	is.True(err != nil)
	stale := Record{Kind: KindApply, Operator: "op1", ApplyID: "stale", Base: 1, File: s.file("stale")}
	data, err := stale.Encode()
	is.NoErr(err)
	ev, _ := p.set.Apply(3, data)
	is.Equal(ev.Verdict, VerdictAccepted) // a reader of the record at 2 refuses it
}

// What was written before records had a format is read as format 1, and a field
// that an equal format doesn't know changes nothing.
func TestRecordsOfThisFormat(t *testing.T) {
	is := is.New(t)
	s := step{operator: 1}
	rec := Record{Kind: KindApply, Operator: "op1", ApplyID: "a", File: s.file("a")}
	data, err := rec.Encode()
	is.NoErr(err)
	for _, prefix := range []string{`{`, `{"format":1,`, `{"hint":"x",`} {
		again, err := DecodeRecord([]byte(prefix + string(data[1:])))
		is.NoErr(err)
		again.Format = 0
		is.Equal(*again, rec)
	}
	_, err = DecodeRecord([]byte("not a record"))
	is.True(err != nil)
}
