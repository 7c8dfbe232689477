package session

import (
	"context"
	"net/http"
	"testing"
)

// TestEntryKilledAndJobJoined: an entry dies by kill -9 while a job runs, and
// its caller's connection breaks. The job lives at its home and not in the
// entry, so the caller that submits again through the other entry joins it and
// gets the whole answer, with each task started once.
func TestEntryKilledAndJobJoined(t *testing.T) {
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 2})
	const tasks = 12
	j := s.begin(s.entry(0), "joined", s.agents[1], tasks, tasks, long)
	s.entries[0].kill()
	if r := <-j.answered; r.err == nil {
		t.Errorf("an answer came from a dead entry: %s", r)
	}
	complete(t, s.entry(1).submit(j.body), j.id, tasks)
	s.onceEach(j.id, tasks)
}

// TestCallerGoesAway: a caller breaks off its connection while its job runs.
// The job goes on, because the caller may come back: a query finds it, and the
// same submission through the other entry gets the whole answer.
func TestCallerGoesAway(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 2})
	id := s.jobAt("gone", s.agents[2])
	const tasks = 6
	body := job(id, tasks, long)
	ctx, hangUp := context.WithCancel(context.Background())
	broken := make(chan reply, 1)
	go func() { broken <- s.entry(0).do(ctx, http.MethodPost, jobsPath, body) }()
	s.awaitStarted(id, tasks)
	hangUp()
	if r := <-broken; r.err == nil {
		t.Fatalf("the caller got an answer: %s", r)
	}
	oneOf(t, s.entry(1).query(id), "pending", "complete")
	complete(t, s.entry(1).submit(body), id, tasks)
	complete(t, s.entry(0).query(id), id, tasks)
	s.onceEach(id, tasks)
}
