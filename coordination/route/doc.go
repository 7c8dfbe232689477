// Package route is the entry's machine. It takes submissions from the HTTP
// handlers and sees to exactly one final answer for each.
//
// # When an entry may say "not run"
//
// NotRun tells a caller that nothing was started and nothing will be. An entry
// starts nothing itself, so the claim is about the attempts it has sent:
//
//  1. An attempt that was never handed to the driver can't be granted.
//  2. An attempt is ruled out for good by a member of its pair, and by nobody
//     else: by the home with an Answer of NotRun, or by the witness with a
//     BarReply of Barred. A grant needs the yes of both at the attempt's epoch,
//     so the no of one is enough, and neither takes its no back.
//  3. Every other attempt is open. Silence, a lost link, a deadline, a move of
//     the roster or an answer of another kind closes none: the message may
//     still be in a socket of a paused home.
//
// A flight holds every open attempt in flight.open, from before its first
// Send until rule 2 removes it, and flight.refusal is the one place where a
// NotRun of the entry's own or of a home's is made: with an open attempt left
// it becomes Unknown. Flights that end with open attempts leave them in
// shard.left, so that the caller's next submission of the same id through this
// entry counts them too. Submissions of one id and content share one flight
// and so one set of attempts. An answer that tells a caller that its job ran
// closes all of them: a NotRun that follows is of the caller's next submission.
// Without a caller there to hear it, they stay open.
//
// What other entries have sent for the id is known to the pair only, which
// answers with the holder if it has granted any. A member that says "not run"
// also rules out what others have sent and the pair hasn't seen yet; see fences
// in package guard. Such a submission is made anew while its caller waits. That is
// why a home that nobody hears of is not refused from here, though nothing was
// sent: the witness is asked first. Without a pair nobody can be asked, and the
// outcome is Unknown.
//
// What this doesn't cover: refusals of the limits and of a draining entry rule
// out nothing at the pair, so a submission that another entry sent before may
// still arrive at its home; and a witness that is itself behind the log, asked by
// an entry that is equally behind while the home is out of reach, knows nothing of
// a later pair.
//
// A repeatable request has no attempt. Each try has a key of its own at one
// agent, and is closed by that agent's refusal only. request.refusal follows
// the same rule.
package route
