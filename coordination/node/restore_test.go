//go:build !race

package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/declare"
	"github.com/shallotstep/shallotstep/examples"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

// states counts the readers that an entry sees as having a complete view, and
// the others.
func states(w *world, e *Entry) (complete, incomplete int) {
	for _, r := range e.Readers(w.now) {
		if r.Incomplete || !r.Heard() {
			incomplete++
		} else {
			complete++
		}
	}
	return complete, incomplete
}

// All seven processes of a fleet lose the complete view at once: the log has a
// record of a format that none of them reads. Jobs go on, every entry stays
// ready and shows all processes as incomplete, and no apply is in force any more.
// A person restores through one entry. Minutes later every process judges
// applies again, what was in force still is, and an apply is in force everywhere.
func TestRestoreOnWholeNodes(t *testing.T) {
	is := is.New(t)
	w, entries, agents := settled(t, 41)
	d := newDesk(t, w)
	all := len(entries) + len(agents) + 1
	w.run(5 * time.Second)
	complete, incomplete := states(w, d.Entry)
	is.Equal(complete, all)
	is.Equal(incomplete, 0)

	w.log[coordination.StreamDeclarations] = append(w.log[coordination.StreamDeclarations], []byte(`{"kind":"of tomorrow"}`))
	w.run(10 * time.Second)
	_, incomplete = states(w, d.Entry)
	is.Equal(incomplete, all)
	is.True(d.Ready())
	d.last++
	lost := d.last
	d.w.execute(d.host, d.keep(d.Apply(w.now, lost, examples.HaneulOperator, 1, examples.HaneulDeclaration)))
	w.run(2 * declare.DefaultSettleLimit)
	is.Equal(d.applied(lost).Reason, state.ReasonApplyUnknown)

	d.last++
	restore := d.last
	d.w.execute(d.host, d.keep(d.RestoreDeclarations(w.now, restore)))
	w.run(2 * time.Minute)
	is.Equal(d.applied(restore).Outcome, state.Complete)
	w.run(3 * time.Minute)
	complete, incomplete = states(w, d.Entry)
	is.Equal(complete, all)
	is.Equal(incomplete, 0)

	// The apply that nobody could judge was judged by the restore.
	cur, _ := d.Declarations().Operator(examples.HaneulOperator)
	is.True(cur.Version > 1)
	d.last++
	d.w.execute(d.host, d.keep(d.Apply(w.now, d.last, examples.HaneulOperator, cur.Version, append(examples.HaneulDeclaration, '\n'))))
	w.run(5 * time.Second)
	is.Equal(d.applied(d.last).Outcome, state.Complete)
	for _, h := range append(entries, agents...) {
		set := h.node.(interface {
			Declarations() *declaration.Set
		}).Declarations()
		now, _ := set.Operator(examples.HaneulOperator)
		is.Equal(now.Version, d.applied(d.last).Version)
	}
	w.check()
}
