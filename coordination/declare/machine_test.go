package declare

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

var t0 = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// file returns a small valid declaration; inFlight tells versions apart.
func file(operator, service string, inFlight int) []byte {
	return fmt.Appendf(nil, `{"operator": %q, "quota": {"tasks_in_flight": %d, "tasks_per_second": 10},
		"services": [{"name": %q, "region": "kigali"}]}`, operator, inFlight, service)
}

// fakeLog is a stream in memory; node i has read up to read[i].
type fakeLog struct {
	first   int64
	records [][]byte
}

func (l *fakeLog) end() int64 { return l.first + int64(len(l.records)) }

// node is a machine with its set and its answers.
type node struct {
	*Machine
	set     *declaration.Set
	applied map[uint64]coordination.Applied
	sent    []coordination.Send
	appends [][]byte
}

func newNode(id string, change func(*Options)) *node {
	set := declaration.NewSet()
	opts := Options{Self: state.NodeID(id), Set: set, Seed: 1}
	if change != nil {
		change(&opts)
	}
	return &node{Machine: New(opts), set: set, applied: make(map[uint64]coordination.Applied)}
}

// take sorts actions; appends wait in n.appends until the test lets them in.
func (n *node) take(actions []coordination.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case coordination.Append:
			n.appends = append(n.appends, a.Data)
		case coordination.Applied:
			if _, twice := n.applied[a.Ticket]; twice {
				panic("ticket answered twice")
			}
			n.applied[a.Ticket] = a
		case coordination.Send:
			n.sent = append(n.sent, a)
		}
	}
}

func (n *node) put(now time.Time, ticket uint64, operator string, base state.Version, raw []byte) {
	n.take(n.Put(now, ticket, operator, base, raw))
}

// flush lets all of the node's waiting appends into the log.
func (n *node) flush(l *fakeLog) {
	l.records = append(l.records, n.appends...)
	n.appends = nil
}

// read lets the node read the log to its end.
func (n *node) read(now time.Time, l *fakeLog) {
	for o := max(n.set.Through()+1, l.first); o < l.end(); o++ {
		n.take(n.Record(now, o, l.records[o-l.first]))
	}
	n.take(n.ReadThrough(now, l.end()-1))
}

func TestApplyIsAcceptedWhenItsRecordIsRead(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{first: 1}
	a, b := newNode("a", nil), newNode("b", nil)
	a.put(t0, 1, "gridlog", 0, file("gridlog", "yard-logbook", 5))
	is.Equal(len(a.applied), 0)
	a.flush(l)
	a.read(t0, l)
	b.read(t0, l)
	is.Equal(a.applied[1], coordination.Applied{Ticket: 1, Version: 1, Outcome: state.Complete})
	is.Equal(a.set.Digest(), b.set.Digest())
	spec, operator, ok := b.set.Service("yard-logbook")
	is.True(ok)
	is.Equal(operator, "gridlog")
	is.Equal(spec.Region, "kigali")
	is.True(a.Ready() && b.Ready())
}

func TestPutRefusesWhatIsCertain(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{first: 1}
	n := newNode("a", nil)
	n.put(t0, 1, "gridlog", 0, file("gridlog", "yard-logbook", 5))
	n.flush(l)
	n.read(t0, l)
	n.put(t0, 2, "gridlog", 0, file("gridlog", "yard-logbook", 6))
	n.put(t0, 3, "gridlog", 1, []byte(`{"operator": "gridlog"}`))
	n.put(t0, 4, "haneul", 0, file("haneul", "yard-logbook", 5))
	n.put(t0, 5, "gridlog", 0, file("gridlog", "yard-logbook", 5)) // its answer was lost
	is.Equal(len(n.appends), 0)
	is.Equal(n.applied[2].Reason, state.ReasonLostRace)
	is.Equal(n.applied[2].Version, state.Version(1))
	is.Equal(n.applied[3].Reason, state.ReasonMalformed)
	is.Equal(n.applied[4].Reason, state.ReasonServiceOwned)
	is.Equal(n.applied[5].Outcome, state.Complete)
}

// A file that everybody would accept and nobody could refresh is refused before
// it is appended.
func TestPutRefusesWhatCannotBeRefreshed(t *testing.T) {
	is := is.New(t)
	n := newNode("a", nil)
	// A control character of a comment takes six bytes in a record.
	raw := append(file("gridlog", "yard-logbook", 5), "/*"+strings.Repeat("\x01", 50<<10)+"*/"...)
	n.put(t0, 1, "gridlog", 0, raw)
	is.Equal(len(n.appends), 0)
	is.Equal(n.applied[1].Reason, state.ReasonTooLarge)
	is.Equal(n.applied[1].Outcome, state.NotRun)
}
