package session

import (
	"bytes"
	"testing"

	"github.com/shallotstep/shallotstep/standin/logserver"
)

// TestLogOutOfService: the platform's log goes out of service while a job runs
// and while an operator applies. The job and new ones go on, because claims are
// the pairs' own; the apply is refused or its outcome said to be unknown, never
// a success. When the log is back the same apply takes effect, as one version.
func TestLogOutOfService(t *testing.T) {
	notShort(t)
	for name, fault := range map[string]logserver.Faults{
		"refuses": {Outage: true},
		"cut off": {Cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			logOutOfService(t, fault)
		})
	}
}

func logOutOfService(t *testing.T, fault logserver.Faults) {
	s := newDeclaredSystem(t, options{entries: 2, apply: "2s"})
	id := s.jobAt("through", s.agents[0])
	const tasks = 12
	answered := s.entry(0).later(job(id, tasks, long))
	s.awaitStarted(id, tasks)
	during := s.jobAt("during", s.agents[1])
	s.log.SetFaults(fault)
	second := declarationFile(t, "declaration-2.json")
	a := oneOf(t, s.entry(1).apply(operator, 1, second), "not_run", "unknown")
	complete(t, s.entry(1).submit(job(during, tasks, 0)), during, tasks)
	complete(t, <-answered, id, tasks)
	s.log.SetFaults(logserver.Faults{})
	// Unknown leaves the operator to look before it applies again; the base
	// makes the second try safe.
	r := s.entry(0).apply(operator, 1, second)
	if a.Outcome == "not_run" {
		oneOf(t, r, "complete")
	}
	await(t, "the second declaration in force", func() bool {
		return s.entry(0).get("/v1/declarations/haneul").body == string(second)
	})
	oneAccepted(s, 1)
	s.onceEach(id, tasks)
	s.onceEach(during, tasks)
}

// oneAccepted fails unless exactly one apply replaced a base. An entry that has
// a declaration from its peers reads the record itself later.
func oneAccepted(s *system, base int64) {
	s.t.Helper()
	n := 0
	await(s.t, "the apply in the history", func() bool {
		n = 0
		for _, e := range s.entry(0).history(operator) {
			if e.Accepted && int64(e.Base) == base {
				n++
			}
		}
		return n > 0
	})
	if n != 1 {
		s.t.Errorf("%d applies replaced version %d: %+v", n, base, s.entry(0).history(operator))
	}
}

// TestLostReplyOfTheLog: the log takes an apply in and its reply is lost. The
// entry reads the log to learn what became of it and must not append again: the
// operator sees success, once, and the log holds the file once.
func TestLostReplyOfTheLog(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 2})
	s.log.SetFaults(logserver.Faults{LoseNextReplies: 1})
	second := declarationFile(t, "declaration-2.json")
	a := oneOf(t, s.entry(0).apply(operator, 1, second), "complete")
	s.awaitVersion(a.Version)
	oneAccepted(s, 1)
	// The record holds the file as text; its first line is in no other record.
	n := 0
	for _, rec := range s.records("declarations") {
		if bytes.Contains(rec.Data, []byte("second declaration")) {
			n++
		}
	}
	if n != 1 {
		t.Errorf("the log holds the second declaration %d times", n)
	}
	if left := s.log.Faults().LoseNextReplies; left != 0 {
		t.Errorf("%d replies are still to be lost: the fault never struck", left)
	}
}

// TestRaceOfOperators: two operators apply different files on the same base
// through two entries at once. In log order one comes first and wins; the other
// is told that it lost, and its file is in force nowhere.
func TestRaceOfOperators(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 2})
	second := declarationFile(t, "declaration-2.json")
	third := bytes.Replace(second, []byte("second"), []byte("third"), 1)
	replies := make(chan reply, 1)
	go func() { replies <- s.entry(0).apply(operator, 1, second) }()
	one := oneOf(t, s.entry(1).apply(operator, 1, third), "complete", "not_run")
	two := oneOf(t, <-replies, "complete", "not_run")
	if (one.Outcome == "complete") == (two.Outcome == "complete") {
		t.Fatalf("not one winner: %+v %+v", one, two)
	}
	winner, file := one, third
	if two.Outcome == "complete" {
		winner, file = two, second
	}
	s.awaitVersion(winner.Version)
	for i := range s.entries {
		if got := s.entry(i).get("/v1/declarations/haneul").body; got != string(file) {
			t.Errorf("entry %d has in force:\n%s", i, got)
		}
	}
	oneAccepted(s, 1)
}
