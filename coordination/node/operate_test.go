package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// desk is an entry at which commands are given. It keeps what their tickets
// were told, and loses replies and appends as a test asks.
type desk struct {
	*Entry
	t    *testing.T
	w    *world
	host *host
	last uint64
	told map[uint64][]coordination.Action
	// stops counts the Stops sent.
	stops int
	// deaf loses every StopReply.
	deaf bool
	// held, when not nil, takes records in place of the log.
	held *[][]byte
	// refuse has the log refuse records.
	refuse  bool
	appends int
}

func newDesk(t *testing.T, w *world) *desk {
	self := state.Member{ID: "desk@1", Region: "jeonbuk", Domain: "d1"}
	d := &desk{Entry: NewEntry(EntryOptions{Self: self, Seed: 7}), t: t, w: w, told: make(map[uint64][]coordination.Action)}
	d.host = w.add(&host{id: self.ID, node: d})
	w.run(time.Second)
	return d
}

// keep takes out of the actions what the test watches or loses.
func (d *desk) keep(acts []coordination.Action) []coordination.Action {
	return slices.DeleteFunc(acts, func(act coordination.Action) bool {
		switch a := act.(type) {
		case coordination.Send:
			if _, ok := a.Msg.(message.Stop); ok {
				d.stops++
			}
		case coordination.Deliver:
			d.told[a.Ticket] = append(d.told[a.Ticket], a)
			return true // the world's tickets are others
		case coordination.Applied:
			d.told[a.Ticket] = append(d.told[a.Ticket], a)
		case coordination.Append:
			return a.Stream == coordination.StreamRoster && d.caught(a)
		}
		return false
	})
}

func (d *desk) caught(a coordination.Append) bool {
	d.appends++
	if d.refuse {
		d.w.at(worldLatency, func() { d.w.execute(d.host, d.AppendFailed(d.w.now, a, true)) })
		return true
	}
	if d.held == nil {
		return false
	}
	*d.held = append(*d.held, a.Data)
	d.w.at(worldLatency, func() { d.w.execute(d.host, d.AppendFailed(d.w.now, a, false)) })
	return true
}

func (d *desk) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	if _, reply := msg.(message.StopReply); reply && d.deaf {
		return nil
	}
	return d.keep(d.Entry.Handle(now, from, msg))
}

func (d *desk) Record(now time.Time, stream coordination.Stream, offset int64, data []byte) []coordination.Action {
	return d.keep(d.Entry.Record(now, stream, offset, data))
}

func (d *desk) AppendFailed(now time.Time, a coordination.Append, refused bool) []coordination.Action {
	return d.keep(d.Entry.AppendFailed(now, a, refused))
}

func (d *desk) Tick(now time.Time) []coordination.Action { return d.keep(d.Entry.Tick(now)) }

func (d *desk) drain(id state.NodeID) (ticket uint64) {
	d.last++
	d.w.execute(d.host, d.keep(d.StopNode(d.w.now, d.last, id)))
	return d.last
}

func (d *desk) confirm(rerun bool, ids ...state.NodeID) (ticket uint64) {
	d.last++
	d.w.execute(d.host, d.keep(d.ConfirmLost(d.w.now, d.last, ids, rerun)))
	return d.last
}

// drained returns the one answer to a drain, or the zero answer.
func (d *desk) drained(ticket uint64) message.Answer {
	d.t.Helper()
	a, _ := d.only(ticket).(coordination.Deliver)
	return a.Answer
}

// applied returns the one answer to a confirmation.
func (d *desk) applied(ticket uint64) coordination.Applied {
	d.t.Helper()
	a, _ := d.only(ticket).(coordination.Applied)
	return a
}

func (d *desk) only(ticket uint64) coordination.Action {
	d.t.Helper()
	switch told := d.told[ticket]; len(told) {
	case 0:
		return nil
	case 1:
		return told[0]
	default:
		d.t.Fatalf("ticket %d was told %d times: %v", ticket, len(told), told)
		return nil
	}
}

// finish lets a draining agent come to its end, and reports whether it did.
func (w *world) finish(h *host) bool {
	for range 2000 {
		if h.agent.Done(w.now) {
			h.dead = true
			return true
		}
		w.run(10 * time.Millisecond)
	}
	return false
}

// The person on call drains the home of a job while the job runs and others
// come in. The agent says at once that it drains, finishes what it has, and
// ends; every caller gets its whole answer. Asked again, it says the same, and
// once it has left the roster the log says so in its place.
func TestDrainCutsNothingOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, _ := settled(t, 21)
	d := newDesk(t, w)
	home, _ := homeOf(w, entries[0], "job-0")
	var first, again uint64
	for i := range 30 {
		w.submit(entries[i%2], fmt.Sprintf("job-%d", i), 5, 30*time.Second)
		w.run(20 * time.Millisecond)
		if i == 5 {
			first = d.drain(home.id)
			w.run(2 * time.Millisecond)
			is.Equal(d.drained(first).Outcome, state.Complete)
			again = d.drain(home.id)
		}
	}
	is.Equal(d.drained(again).Outcome, state.Complete)
	_, member := d.Roster().Member(home.id)
	is.True(!member)
	is.Equal(d.drained(d.drain(home.id)).Outcome, state.Complete) // it has left
	is.True(w.finish(home))
	w.quiet(30 * time.Second)
	w.check()
	is.Equal(w.outcomes(), map[string]int{"complete": 30})
	is.Equal(d.stops, 2) // no copy was sent without need
}

// The network loses the first copies of the Stop. The entry sends it again
// until one gets through, and the person on call hears only that it did.
func TestDrainIsSentAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, _, agents := settled(t, 22)
	d := newDesk(t, w)
	agents[0].side = 1
	ticket := d.drain(agents[0].id)
	w.run(2*stopResend + stopResend/2)
	is.True(!agents[0].agent.Draining())
	is.Equal(d.drained(ticket).Outcome, state.Pending)
	agents[0].side = 0
	w.run(stopResend)
	is.True(agents[0].agent.Draining())
	is.Equal(d.drained(ticket).Outcome, state.Complete)
	is.Equal(d.stops, 4)
	w.quiet(time.Minute)
	is.Equal(d.stops, 4) // and no more after the reply
}

// Every reply of the agent is lost on its way. With the log in service the
// agent's leave record, which only it writes, tells that it drains; without the
// log nothing tells, and the person on call hears "unknown", not "not run".
func TestDrainWithItsRepliesLost(t *testing.T) {
	t.Parallel()
	for _, logOut := range []bool{false, true} {
		is := is.New(t)
		w, _, agents := settled(t, 23)
		d := newDesk(t, w)
		d.deaf, w.logOut = true, logOut
		ticket := d.drain(agents[1].id)
		w.run(stopLimit + time.Second)
		is.True(agents[1].agent.Draining())
		if !logOut {
			is.Equal(d.drained(ticket).Outcome, state.Complete)
			continue
		}
		is.Equal(d.drained(ticket).Outcome, state.Unknown)
		is.Equal(d.drained(ticket).Reason, state.ReasonNoReply)
	}
}

// The agent stands still through the limit and takes the Stop from its socket
// afterwards. The ticket has been told "unknown" by then, which was true: the
// late reply changes nothing, and the next drain finds the agent draining.
func TestDrainReplyAfterTheLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, _, agents := settled(t, 24)
	d := newDesk(t, w)
	agents[2].paused = w.now.Add(stopLimit + time.Second)
	ticket := d.drain(agents[2].id)
	w.run(stopLimit + 500*time.Millisecond)
	is.Equal(d.drained(ticket).Outcome, state.Unknown)
	w.run(time.Second)
	is.True(agents[2].agent.Draining())
	is.Equal(d.drained(ticket).Outcome, state.Unknown) // told once
	again := d.drain(agents[2].id)
	w.run(10 * time.Millisecond)
	is.Equal(d.drained(again).Outcome, state.Complete)
}

// A drain names nobody in the roster: a slip of the pen, or an entry. Nothing is
// sent. An entry that has read no roster says so and doesn't call a member
// unknown.
func TestDrainOfNobody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, agents := settled(t, 25)
	d := newDesk(t, w)
	for _, id := range []state.NodeID{"agent-0", "agent-0@2", entries[0].id} {
		a := d.drained(d.drain(id))
		is.Equal(a.Outcome, state.NotRun)
		is.Equal(a.Reason, state.ReasonUnknownNode)
	}
	is.Equal(d.stops, 0)
	blank := NewEntry(EntryOptions{Self: state.Member{ID: "blank@1"}})
	acts := blank.StopNode(w.now, 1, agents[0].id)
	is.Equal(acts[0].(coordination.Deliver).Answer.Reason, state.ReasonNotReady)
}

// An agent that was taken over asks others to stop, under its own id and under
// an incarnation that its certificate would allow. They don't, and say so; an
// entry that shares an agent's name is told why its drains don't work.
func TestOnlyEntriesStopAgents(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, _, agents := settled(t, 26)
	a := agents[0].agent
	for _, from := range []state.NodeID{agents[1].id, "agent-1@2", agents[0].id, "agent-0@2"} {
		acts := a.Handle(w.now, from, message.Stop{Ticket: 1})
		is.Equal(acts, []coordination.Action{coordination.Send{To: from, Msg: message.StopReply{Ticket: 1}}})
	}
	is.True(!a.Draining())
	d := newDesk(t, w)
	ticket := d.drain(agents[0].id)
	w.execute(d.host, d.Handle(w.now, agents[1].id, message.StopReply{Ticket: ticket, Draining: true}))
	is.Equal(d.drained(ticket).Outcome, state.Pending) // another's word doesn't count
	d.Handle(w.now, agents[0].id, message.StopReply{Ticket: ticket})
	is.Equal(d.drained(ticket).Outcome, state.Unknown) // a copy may yet be taken
	is.Equal(d.drained(ticket).Reason, state.ReasonStopRefused)
}

// lostPair kills both members of a job's pair at once and lets them be evicted.
func lostPair(t *testing.T, w *world, d *desk, id string) (home, witness *host) {
	t.Helper()
	home, witness = homeOf(w, &host{node: d.Entry}, id)
	home.dead, witness.dead = true, true
	w.quiet(2 * time.Minute)
	if n := len(d.Roster().Members()); n != 3 {
		t.Fatalf("%d members are left", n)
	}
	return home, witness
}

// Both members of a pair die before anybody pulled their claims, so their share
// stays shut. The person on call confirms them lost and accepts that ids run
// again: the command answers with the record's offset, and the next job runs.
func TestConfirmLostOpensAShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, _ := settled(t, 27)
	d := newDesk(t, w)
	home, witness := lostPair(t, w, d, "intake")
	before := w.submit(entries[0], "intake", 3, 10*time.Second)
	w.run(11 * time.Second)
	is.True(w.tickets[before].answer.Outcome != state.Complete)

	ticket := d.confirm(true, home.id, witness.id)
	w.run(100 * time.Millisecond)
	a := d.applied(ticket)
	is.Equal(a.Outcome, state.Complete)
	rec, err := roster.Decode(w.log[coordination.StreamRoster][a.Version-1])
	is.NoErr(err)
	is.Equal(rec.(roster.ConfirmLost).NodeIDs, []state.NodeID{home.id, witness.id})

	after := w.submit(entries[0], "intake", 3, 10*time.Second)
	w.run(10 * time.Second)
	is.Equal(w.tickets[after].answer.Outcome, state.Complete)
	w.check()
}

// A named node is still a member. Its word counts: it may grant what the
// operator says nobody will. Nothing is appended, and the refusal names it.
func TestConfirmLostRefusesMembers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, _, agents := settled(t, 28)
	d := newDesk(t, w)
	a := d.applied(d.confirm(true, "gone@1", agents[3].id))
	is.Equal(a.Outcome, state.NotRun)
	is.Equal(a.Reason, state.ReasonStillMember)
	is.True(strings.Contains(a.Detail, string(agents[3].id)))
	is.True(!strings.Contains(a.Detail, "gone@1"))
	is.Equal(d.appends, 0)
}

// A node joins after the entry looked and before the record is in the log, so
// everybody passes it over. The operator hears that, and of which node: "not
// run" when the record did nothing, "failed" when it did a part.
func TestConfirmLostPassesOverANewcomer(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		named   []state.NodeID
		outcome state.Outcome
	}{
		{[]state.NodeID{"new@1"}, state.NotRun},
		{[]state.NodeID{"gone@1", "new@1"}, state.Failed},
	} {
		is := is.New(t)
		w, _, _ := settled(t, 29)
		d := newDesk(t, w)
		join, err := roster.Encode(roster.Join{Member: state.Member{ID: "new@1", Addr: "127.0.0.1:99", Region: "jeonbuk", Domain: "d9", Rack: "r1"}})
		is.NoErr(err)
		ticket := d.confirm(false, c.named...)
		w.log[coordination.StreamRoster] = append(w.log[coordination.StreamRoster], join)
		w.run(100 * time.Millisecond)
		is.Equal(d.applied(ticket).Outcome, c.outcome)
		is.Equal(d.applied(ticket).Reason, state.ReasonStillMember)
		is.True(strings.HasSuffix(d.applied(ticket).Detail, ": new@1"))
	}
}

// The log refuses the record. It is certain that it isn't in: not run.
func TestConfirmLostWithTheLogDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, _, _ := settled(t, 30)
	d := newDesk(t, w)
	d.refuse = true
	ticket := d.confirm(false, "gone@1")
	w.run(time.Second)
	is.Equal(d.applied(ticket).Outcome, state.NotRun)
	is.Equal(d.applied(ticket).Reason, state.ReasonLogUnavailable)
}

// The reply to the append is lost. The record shows up in the stream two seconds
// later, or after the limit, or a like one of another entry does. Only its own
// record settles the command, and the command never appends a second time.
func TestConfirmLostSettlesALostReplyByReading(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		arrives time.Duration
		mine    bool
		outcome state.Outcome
		reason  state.Reason
	}{
		{"in time", 2 * time.Second, true, state.Complete, state.ReasonNone},
		{"after the limit", confirmLimit + time.Second, true, state.Unknown, state.ReasonApplyUnknown},
		{"another's", time.Second, false, state.Unknown, state.ReasonApplyUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w, _, _ := settled(t, 31)
			d := newDesk(t, w)
			d.held = new([][]byte)
			ticket := d.confirm(false, "gone@1")
			record := (*d.held)[0]
			if !c.mine {
				var err error
				record, err = roster.Encode(roster.ConfirmLost{ID: "entry-0@1/1", NodeIDs: []state.NodeID{"gone@1"}})
				is.NoErr(err)
			}
			w.at(c.arrives, func() {
				w.log[coordination.StreamRoster] = append(w.log[coordination.StreamRoster], record)
			})
			w.run(2 * confirmLimit)
			is.Equal(d.applied(ticket).Outcome, c.outcome)
			is.Equal(d.applied(ticket).Reason, c.reason)
			if c.outcome == state.Complete {
				is.Equal(w.log[coordination.StreamRoster][d.applied(ticket).Version-1], record)
			}
			is.Equal(d.appends, 1)
		})
	}
}
