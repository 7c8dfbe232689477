package session

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// long is the run time of a task that has to be in the middle of its run when
// something happens. No test waits for it by the clock.
const long = 2 * time.Second

// TestHomeKilledWhileJobRuns: the caller of a job whose home dies by kill -9 is
// told "unknown" or "failed" while the dead home still stands in the roster,
// and not after a timeout of the job. It submits again through the other entry:
// the witness knows the claim, so nothing is started again and the answer stays
// short of "complete" and of "not run".
func TestHomeKilledWhileJobRuns(t *testing.T) {
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 2})
	home := s.agents[0]
	const tasks = 12
	j := s.begin(s.entry(0), "killed", home, tasks, tasks, long)
	home.kill()
	oneOf(t, <-j.answered, "unknown", "failed")
	if s.evicted(home) {
		t.Error("the answer waited for the eviction")
	}
	for i := range s.entries {
		oneOf(t, s.entry(i).submit(j.body), "unknown", "failed")
	}
	s.idle()
	s.onceEach(j.id, tasks)
}

// TestEvictedHomeAndItsShares: a home dies by kill -9 and is evicted. Its jobs
// stay lost, with nothing started again, because the member of the pair that
// survives keeps the claim. New ids of the same shares run at the new pair, so
// the loss of one host is over within the time of an eviction.
func TestEvictedHomeAndItsShares(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 2, evictAfter: soonEvict})
	home := s.agents[0]
	fresh := s.jobAt("fresh", home)
	const tasks = 6
	lost := s.begin(s.entry(0), "lost", home, tasks, tasks, long)
	home.kill()
	oneOf(t, <-lost.answered, "unknown", "failed")
	await(t, "the eviction", func() bool { return s.evicted(home) })
	for _, e := range s.entries {
		s.awaitAgents(e, 2)
	}
	for i := range s.entries {
		oneOf(t, s.entry(i).submit(lost.body), "unknown", "failed")
	}
	submitUntilComplete(s, s.entry(1), fresh, 4)
	s.idle()
	s.onceEach(lost.id, tasks)
	s.onceEach(fresh, 4)
}

// submitUntilComplete submits under one id until the answer is complete, as a
// caller does that is told to come back. Any other refusal fails the test.
func submitUntilComplete(s *system, c *client, id string, tasks int) {
	s.t.Helper()
	await(s.t, "a complete answer to "+id, func() bool {
		r := c.submit(job(id, tasks, 0))
		if r.status == http.StatusOK {
			complete(s.t, r, id, tasks)
			return true
		}
		if a := r.answer(s.t); a.Outcome == "failed" || r.header.Get("Retry-After") == "" {
			s.t.Fatalf("%s can't be submitted again: %s", id, r)
		}
		return false
	})
}

// TestPausedHomeStartsNothingLate: a home is paused (SIGSTOP) before it reads a
// submission, and the caller is told "not run" on the word of the witness. The
// home goes on later and finds the submission in its socket. It must start
// nothing, for the caller may have run the work elsewhere by then: the witness
// has barred the attempt. The same id may then be submitted again.
func TestPausedHomeStartsNothingLate(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 2})
	home := s.agents[0]
	warm := s.jobAt("warm", home)
	complete(t, s.entry(0).submit(job(warm, 2, 0)), warm, 2)
	home.signal(syscall.SIGSTOP)
	refused := pausedRefusals(s, home)
	home.signal(syscall.SIGCONT)
	// Links keep the order, so that by the end of a job of each entry the home
	// has read what was sent before.
	for i, c := range []*client{s.entry(0), s.entry(1)} {
		submitUntilComplete(s, c, s.jobAt([]string{"resumed-a", "resumed-b"}[i], home), 2)
	}
	for _, id := range refused {
		if n := s.started(id); n > 0 {
			t.Errorf("%s was answered not_run, and %d tasks were started", id, n)
		}
	}
	for _, id := range refused {
		submitUntilComplete(s, s.entry(1), id, 4)
		s.onceEach(id, 4)
	}
}

// pausedRefusals submits jobs of a paused home until one is refused as not run,
// and returns those that were. Unknown is no fault: under load the word of the
// witness may come too late.
func pausedRefusals(s *system, home *process) []string {
	s.t.Helper()
	var refused []string
	for _, prefix := range []string{"late-a", "late-b", "late-c", "late-d", "late-e"} {
		id := s.jobAt(prefix, home)
		a := oneOf(s.t, s.entry(0).submit(job(id, 4, 0)), "not_run", "unknown")
		if a.Outcome == "not_run" {
			refused = append(refused, id)
		}
		if len(refused) == 2 {
			return refused
		}
	}
	if len(refused) == 0 {
		s.t.Fatal("no submission to a paused home was answered not_run")
	}
	return refused
}

// TestPausedHomeIsEvictedInTheMiddle: a home is paused with a job half placed,
// stays away until it is evicted, and goes on. Its caller has been told that
// the job is lost. The late home must not start a task that ran already, nor go
// on as if it still were a member: it ends by itself, with a failure code, so
// that its supervisor starts a new incarnation.
func TestPausedHomeIsEvictedInTheMiddle(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 2, evictAfter: soonEvict})
	home := s.agents[0]
	const tasks = 5 * slots
	j := s.begin(s.entry(0), "paused", home, tasks, 3*slots, long)
	home.signal(syscall.SIGSTOP)
	oneOf(t, <-j.answered, "unknown", "failed")
	await(t, "the eviction", func() bool { return s.evicted(home) })
	home.signal(syscall.SIGCONT)
	if code := home.exit(); code != 1 {
		t.Errorf("the evicted home ends with %d", code)
	}
	s.idle()
	oneOf(t, s.entry(1).submit(j.body), "unknown", "failed")
	s.idle()
	s.noDouble()
}

// TestDeadAgentGetsNoNewWork: an agent dies by kill -9 and the link to it breaks
// at a home of other jobs. The home knows that nobody reads at the other end,
// so it must not place tasks there: they would wait for the eviction, and their
// job would then be lost, for a host that was known to be dead beforehand.
func TestDeadAgentGetsNoNewWork(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 1})
	home, dead := s.agents[1], s.agents[0]
	// A job over all agents has the home make its links.
	const tasks = 3 * slots
	first := s.jobAt("first", home)
	complete(t, s.entry(0).submit(job(first, tasks, 100*time.Millisecond)), first, tasks)
	downs := func() string { return metric(s, home, "shallotstep_link_downs_total") }
	before := downs()
	dead.kill()
	home.await("noticing the lost link", func() bool { return downs() != before })
	for _, prefix := range []string{"next-a", "next-b", "next-c", "next-d"} {
		// The pair is alive: a pair with the dead agent is another matter.
		id := s.jobOfPair(prefix, home, s.agents[2])
		complete(t, s.entry(0).submit(job(id, 4, 50*time.Millisecond)), id, 4)
	}
}

// metric returns the lines of a metric as an agent shows them.
func metric(s *system, p *process, name string) string {
	s.t.Helper()
	c := &client{t: s.t, base: "http://" + p.http, http: &http.Client{Timeout: hang}}
	var out []string
	for line := range strings.SplitSeq(c.get("/metrics").body, "\n") {
		if strings.HasPrefix(line, name) {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}
