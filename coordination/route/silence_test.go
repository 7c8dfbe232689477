package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// cutOffHome submits, loses the link to the home and returns the Bar.
func cutOffHome(is *is.I, b *bench) message.Bar {
	b.submit(1, false, 5*time.Second)
	b.PeerDown(b.now, "h")
	bars, to := sent[message.Bar](b.pass(barAfter))
	is.Equal(to, []state.NodeID{"w"})
	return bars[0]
}

// The museum's quote goes to a home that is cut off right after. The witness
// rules the attempt out, so the desk is told "not run" at once, with when to
// come back. The home's late answer for the attempt is dropped.
func TestBarredIsNotRunAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	bar := cutOffHome(is, b)
	acts := b.Handle(b.now, "w", message.BarReply{Key: quote, Attempt: bar.Attempt, Barred: true})
	is.Equal(delivered(acts)[0].Answer.Outcome, state.NotRun)
	is.Equal(delivered(acts)[0].Answer.Reason, state.ReasonHomeUnreachable)
	is.True(delivered(acts)[0].Answer.RetryAfter > 0)
	late := message.Answer{Key: quote, Attempt: bar.Attempt, Outcome: state.NotRun}
	is.Equal(len(b.Handle(b.now, "h", late)), 0)
}

// As before, but the roster has given the share another home meanwhile, and
// the deadline allows a new attempt there.
func TestBarredGoesToTheNewHome(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	bar := cutOffHome(is, b)
	b.roster.home, b.roster.witness, b.roster.epoch = "w", "x", 8
	acts := b.Handle(b.now, "w", message.BarReply{Key: quote, Attempt: bar.Attempt, Barred: true})
	subs, to := sent[message.Submit](acts)
	is.Equal(to, []state.NodeID{"w"})
	is.Equal(subs[0].Epoch, state.Epoch(8))
	is.True(subs[0].Attempt != bar.Attempt)
}

// The witness has recorded the claim: the home holds the job. It is asked
// again until it has been away too long, and then nobody can say.
func TestHeldByALostHomeIsUnknown(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	bar := cutOffHome(is, b)
	is.Equal(len(delivered(b.Handle(b.now, "w", message.BarReply{Key: quote, Attempt: bar.Attempt, Holder: "h"}))), 0)
	again, _ := sent[message.Submit](b.PeerUp(b.now, "h"))
	is.Equal(again[0].Attempt, bar.Attempt)
	b.roster.dead["h"] = true
	got := delivered(b.pass(unreachableAfter + barAfter))
	is.Equal(got[0].Answer.Outcome, state.Unknown)
	is.Equal(got[0].Answer.Reason, state.ReasonHomeLost)
}

// Neither member of the pair is reachable. The caller is told so when the time
// limit has passed, long before its own deadline.
func TestNobodyReachableIsUnknown(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.roster.dead["w"] = true
	b.submit(1, false, time.Minute)
	b.PeerDown(b.now, "h")
	is.Equal(len(delivered(b.pass(unreachableAfter-2*coordination.TickInterval))), 0)
	got := delivered(b.pass(4 * coordination.TickInterval))
	is.Equal(got[0].Answer.Outcome, state.Unknown)
	is.Equal(got[0].Answer.Reason, state.ReasonHomeUnreachable)
}

// The home knows that another node holds the job since before the roster
// moved. The holder is asked with the same content, so that the caller joins.
func TestHolderIsAsked(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	subs, _ := sent[message.Submit](b.submit(1, false, 5*time.Second))
	at := message.Answer{Key: quote, Attempt: subs[0].Attempt, Outcome: state.Unknown, Reason: state.ReasonHomeLost, Holder: "old"}
	joins, to := sent[message.Submit](b.Handle(b.now, "h", at))
	is.Equal(to, []state.NodeID{"old"})
	is.Equal(joins[0].Digest, subs[0].Digest)
	is.True(!joins[0].Query)
	b.roster.dead["old"] = true
	got := delivered(b.pass(unreachableAfter + 2*aliveEvery))
	is.Equal(got[0].Answer.Reason, state.ReasonHomeLost)
}

// The entry is behind: the home refuses the attempt's epoch. The entry waits
// for the roster and tries anew; when it doesn't move, it says so in time. The
// attempt was ruled out, but a later pair may have run the id for another entry.
func TestStaleEpochWaitsForTheRoster(t *testing.T) {
	is := is.New(t)
	for _, moves := range []bool{true, false} {
		b := newBench(nil)
		subs, _ := sent[message.Submit](b.submit(1, false, 5*time.Second))
		stale := message.Answer{Key: quote, Attempt: subs[0].Attempt, Outcome: state.NotRun, Reason: state.ReasonStaleEpoch, Epoch: 8}
		is.Equal(len(b.Handle(b.now, "h", stale)), 0)
		if moves {
			b.roster.epoch = 8
			again, _ := sent[message.Submit](b.RosterChanged(b.now))
			is.Equal(again[0].Epoch, state.Epoch(8))
			continue
		}
		acts := b.pass(pairWait)
		again, _ := sent[message.Submit](acts)
		is.Equal(len(again), 0) // asking the same again is of no use
		got := delivered(acts)
		is.Equal(got[0].Answer.Outcome, state.Unknown)
		is.True(got[0].Answer.RetryAfter > 0)
	}
}

// Nobody hears of the home, so nothing is sent to it. The id may have run by a
// submission through another entry all the same: the witness decides.
func TestDeadHomeIsNotRefusedFromHere(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.roster.dead["h"] = true
	acts := b.submit(1, false, 5*time.Second)
	bars, _ := sent[message.Bar](acts)
	is.Equal(len(delivered(acts)), 0)
	got := delivered(b.Handle(b.now, "w", message.BarReply{Key: quote, Attempt: bars[0].Attempt, Holder: "h"}))
	is.Equal(got[0].Answer.Outcome, state.Unknown)
	is.Equal(got[0].Answer.Reason, state.ReasonHomeLost)
}

// A caller leaves, and its job's answer arrives with nobody to hear it. It
// submits again, and the home, which has forgotten, refuses as not run. The
// first attempt must be ruled out before that is passed on; it can't be.
func TestUnheardAnswerStillCounts(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	first, _ := sent[message.Submit](b.submit(1, false, 5*time.Second))
	b.Abandon(b.now, 1)
	b.Handle(b.now, "h", message.Answer{Key: quote, Attempt: first[0].Attempt, Outcome: state.Complete, Results: make([]state.TaskResult, 1)})
	second, _ := sent[message.Submit](b.submit(2, false, 5*time.Second))
	acts := b.Handle(b.now, "h", message.Answer{Key: quote, Attempt: second[0].Attempt, Outcome: state.NotRun, Reason: state.ReasonOverload})
	bars, _ := sent[message.Bar](acts)
	is.Equal(bars[0].Attempt, first[0].Attempt)
	is.Equal(delivered(b.pass(2 * settleFor))[0].Answer.Outcome, state.Unknown)
}

// The home is behind and can't say. It may catch up and grant the attempt from
// a late copy, so the deadline's answer is Unknown; had it ruled the attempt
// out, it would be NotRun. And if the roster moves and the next attempt is
// refused, the first must be ruled out before that is passed on.
func TestUnknownLeavesTheAttemptOpen(t *testing.T) {
	is := is.New(t)
	for _, outcome := range []state.Outcome{state.Unknown, state.NotRun} {
		b := newBench(nil)
		first, _ := sent[message.Submit](b.submit(1, false, 2*catchUpMin))
		behind := message.Answer{Key: quote, Attempt: first[0].Attempt, Outcome: outcome, Reason: state.ReasonStaleEpoch, Epoch: 6}
		b.Handle(b.now, "h", behind)
		b.roster.epoch = 8
		second, _ := sent[message.Submit](b.RosterChanged(b.now))
		is.Equal(len(second), 1)
		acts := b.Handle(b.now, "h", message.Answer{Key: quote, Attempt: second[0].Attempt, Outcome: state.NotRun, Reason: state.ReasonOverload})
		bars, _ := sent[message.Bar](acts)
		if outcome == state.Unknown {
			is.Equal(bars[0].Attempt, first[0].Attempt)
			acts = b.pass(3 * catchUpMin)
		}
		is.Equal(delivered(acts)[0].Answer.Outcome, outcome)
	}
}

// A home has died: the link broke a while ago and was not made again. A caller
// who submits now hears "not run" as soon as the witness has ruled the attempt
// out, and not after a probe of the home, for which it would wait a second.
func TestHomeKnownToBeDownIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.PeerDown(b.now, "h")
	b.pass(10 * barAfter)
	subs, to := sent[message.Submit](b.submit(1, false, 5*time.Second))
	is.Equal(to, []state.NodeID{"h"}) // sending has the link dialled
	bars, to := sent[message.Bar](b.pass(cutResend + coordination.TickInterval))
	is.Equal(to, []state.NodeID{"w"})
	is.Equal(bars[0].Attempt, subs[0].Attempt)
	acts := b.Handle(b.now, "w", message.BarReply{Key: quote, Attempt: subs[0].Attempt, Barred: true})
	is.Equal(delivered(acts)[0].Answer.Outcome, state.NotRun)
}

// The link to a home broke while nothing was under way, and the home lives. The
// first submission after that has the link made again, and is asked once more
// over it. The home says that it is at work on it, so no witness is asked.
func TestLinkThatIsMadeAgainIsTrusted(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.PeerDown(b.now, "h")
	b.pass(10 * barAfter)
	b.submit(1, false, 5*time.Second)
	again, to := sent[message.Submit](b.PeerUp(b.now, "h"))
	is.Equal(to, []state.NodeID{"h"})
	b.Handle(b.now, "h", message.Answer{Key: quote, Attempt: again[0].Attempt, Outcome: state.Pending})
	bars, _ := sent[message.Bar](b.pass(2 * barAfter))
	is.Equal(len(bars), 0)
}

// A home is paused with its link up. The first caller waits for a probe, and the
// witness rules the attempt out. The next caller isn't made to wait for the same
// again. Then the home goes on and answers something old: it has its full time.
func TestSilentHomeIsWaitedForOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	barOf := func(wait time.Duration) (bar message.Bar, ok bool) {
		b.submit(1, false, 5*time.Second)
		bars, _ := sent[message.Bar](b.pass(wait))
		if len(bars) == 0 {
			return message.Bar{}, false
		}
		b.Handle(b.now, "w", message.BarReply{Key: quote, Attempt: bars[0].Attempt, Barred: true})
		return bars[0], true
	}
	first, ok := barOf(probeMin + barAfter)
	is.True(ok)
	_, ok = barOf(barAfter + coordination.TickInterval)
	is.True(ok)
	b.pass(rosterLag)
	_, ok = barOf(2 * cutResend)
	is.True(ok)
	b.Handle(b.now, "h", message.Answer{Key: quote, Attempt: first.Attempt, Outcome: state.NotRun})
	_, ok = barOf(2 * cutResend)
	is.Equal(ok, false)
}

// A home has just entered its pair and lacks the claims granted before, among them
// the desk's own earlier submission by way of another entry. It rules the attempt
// out and says that it can't vouch for the id. Told "not run", the desk would have
// the job run again under a new id; a later refusal without that doubt doesn't make
// the first one certain.
func TestRuledOutAttemptOfAnUnknownIDIsNotNotRun(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	subs, _ := sent[message.Submit](b.submit(1, false, 5*time.Second))
	doubt := message.Answer{
		Key: quote, Attempt: subs[0].Attempt, Outcome: state.NotRun, Reason: state.ReasonClaimsUnknown, Epoch: 7,
	}
	acts := b.Handle(b.now, "h", doubt)
	is.Equal(len(delivered(acts)), 0)
	again, to := sent[message.Submit](append(acts, b.pass(pairWait/2)...))
	is.Equal(to[0], state.NodeID("h"))
	is.True(again[0].Attempt != subs[0].Attempt)
	last := message.Answer{
		Key: quote, Attempt: again[len(again)-1].Attempt, Outcome: state.NotRun, Reason: state.ReasonBusy, Epoch: 7,
	}
	got := delivered(b.Handle(b.now, "h", last))
	is.Equal(got[0].Answer.Outcome, state.Unknown)
}

// An entry is paused with a "not run" in its socket, and its caller submits again
// through another entry, where the job runs. The entry goes on, reads the old word
// before or after its first tick, and must not pass it on as it stands.
func TestWordsFromBeforeAPauseAreDoubted(t *testing.T) {
	for _, tickFirst := range []bool{false, true} {
		is := is.New(t)
		b := newBench(nil)
		b.Tick(b.now)
		subs, _ := sent[message.Submit](b.submit(1, false, time.Minute))
		b.now = b.now.Add(7 * time.Second)
		if tickFirst {
			b.Tick(b.now)
		}
		old := message.Answer{Key: quote, Attempt: subs[0].Attempt, Outcome: state.NotRun, Reason: state.ReasonBusy}
		is.Equal(delivered(b.Handle(b.now, "h", old))[0].Answer.Outcome, state.Unknown)
		// Later words are as good as ever.
		b.pass(2 * oldFor)
		subs, _ = sent[message.Submit](b.submit(2, false, time.Minute))
		old.Attempt = subs[0].Attempt
		is.Equal(delivered(b.Handle(b.now, "h", old))[0].Answer.Outcome, state.NotRun)
	}
}

// The home has been without news of the log for hours and grants nothing more. It
// rules the attempt out, but a pair that it knows nothing of may have run the id.
func TestBlindHomeVouchesForNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	subs, _ := sent[message.Submit](b.submit(1, false, time.Minute))
	blind := message.Answer{Key: quote, Attempt: subs[0].Attempt, Outcome: state.NotRun, Reason: state.ReasonLogUnavailable, RetryAfter: time.Second}
	got := delivered(b.Handle(b.now, "h", blind))
	is.Equal(got[0].Answer.Outcome, state.Unknown)
	is.Equal(got[0].Answer.Reason, state.ReasonLogUnavailable)
	is.True(got[0].Answer.RetryAfter > 0)
}
