package session

import (
	"syscall"
	"testing"
	"time"
)

// TestNotRunCoversWhatAnotherEntrySent: a submission lies in the socket of a
// paused home when the entry that sent it dies. Its caller submits again through
// the other entry and hears "not run" on the word of the witness, and may have
// the work done elsewhere. Then the home goes on and finds the first entry's
// submission. It must start nothing: the witness has ruled out the id, and not
// only the attempt that it was asked about.
func TestNotRunCoversWhatAnotherEntrySent(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 2})
	home := s.agents[0]
	for i := range s.entries {
		warm := s.jobAt([]string{"warm-a", "warm-b"}[i], home)
		complete(t, s.entry(i).submit(job(warm, 2, 0)), warm, 2)
	}
	id := s.jobAt("left", home)
	sent := func() string { return metric(s, s.entries[0], "shallotstep_link_messages_sent_total") }
	before := sent()
	home.signal(syscall.SIGSTOP)
	lost := s.entry(0).later(job(id, 4, 0))
	await(t, "the submission to be sent", func() bool { return sent() != before })
	// What was written may still be on its way through the loopback; should it
	// be lost with the entry, the test shows less and asks for nothing else.
	time.Sleep(50 * time.Millisecond)
	s.entries[0].kill()
	<-lost
	a := oneOf(t, s.entry(1).submit(job(id, 4, 0)), "not_run", "unknown")
	home.signal(syscall.SIGCONT)
	// Jobs of the other entry, each by way of the home and its witness, take
	// longer than what the home has lying in its socket.
	for _, prefix := range []string{"next-a", "next-b", "next-c"} {
		submitUntilComplete(s, s.entry(1), s.jobAt(prefix, home), 2)
	}
	if n := s.started(id); a.Outcome == "not_run" && n > 0 {
		t.Errorf("%s was answered not_run, and %d tasks were started", id, n)
	}
}
