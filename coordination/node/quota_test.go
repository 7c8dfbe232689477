package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/limit"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

// declared is the entry of a test that declares quotas for operators.
type declared struct {
	*Entry
	now    time.Time
	offset int64
	base   map[string]state.Version
}

func newDeclared(operators int) *declared {
	d := &declared{
		Entry: NewEntry(EntryOptions{Self: state.Member{ID: "e@1"}}), now: time.Unix(1_000_000, 0),
		base: make(map[string]state.Version),
	}
	for i := range operators {
		d.declare(fmt.Sprint("op", i), 1)
	}
	return d
}

func quotaFile(operator string, inFlight int) string {
	return fmt.Sprintf(`{"operator": %q, "quota": {"tasks_in_flight": %d, "tasks_per_second": 1000},
		"services": [{"name": "%s-s", "region": "kigali"}]}`, operator, inFlight, operator)
}

// declare has the entry read a declaration from the log.
func (d *declared) declare(operator string, inFlight int) {
	d.offset++
	rec := declaration.Record{
		Kind: declaration.KindApply, Operator: operator, ApplyID: fmt.Sprint(d.offset),
		Base: d.base[operator], File: quotaFile(operator, inFlight),
	}
	data, err := rec.Encode()
	if err != nil {
		panic(err)
	}
	d.base[operator] = state.Version(d.offset)
	d.Record(d.now, coordination.StreamDeclarations, d.offset, data)
}

// holds reports whether an operator may have just so many tasks in flight.
func (d *declared) holds(operator string, inFlight int) bool {
	over := d.limits.Admit(d.now, operator, operator+"-s", inFlight+1, 0)
	return over.Reason == state.ReasonQuota && d.limits.Admit(d.now, operator, operator+"-s", inFlight, 0).OK
}

// A declaration puts its operator's quota in force and touches no other: one of
// 280 operators changes, not 280. It makes no difference whether it comes from
// the log or from a peer.
func TestOnlyTheChangedQuotaIsSet(t *testing.T) {
	is := is.New(t)
	d := newDeclared(3)
	d.limits.SetQuota("op2", limit.Quota{TasksInFlight: 7}) // shows whether it is set anew
	d.declare("op0", 20)
	is.True(d.holds("op0", 20))
	is.True(d.holds("op2", 7))
	d.Handle(d.now, "peer", message.DeclarationReply{Records: []message.DeclarationRecord{
		{Operator: "op1", Version: 100, ApplyID: "p", File: []byte(quotaFile("op1", 30))},
	}})
	is.True(d.holds("op1", 30))
}

// BenchmarkDeclarationRecord is what an entry with 280 operators does with one
// record of a declaration.
func BenchmarkDeclarationRecord(b *testing.B) {
	d := newDeclared(280)
	b.ReportAllocs()
	for b.Loop() {
		d.declare("op0", 1)
	}
}
