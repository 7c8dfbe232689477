package home_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/admit"
	"github.com/shallotstep/shallotstep/coordination/home"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// service is a home and real agents over links without delay. Tasks take 50 ms,
// or fail within a millisecond at a worker that is broken.
type service struct {
	now    time.Time
	home   *home.Home
	ids    []state.NodeID
	agents map[state.NodeID]*admit.Machine
	broken map[state.NodeID]bool
	later  []worldEvent
	starts map[state.NodeID]int
	failed int
	jobs   int
}

func newService(agents int) *service {
	s := &service{
		now: time.Unix(1e6, 0), agents: map[state.NodeID]*admit.Machine{},
		broken: map[state.NodeID]bool{}, starts: map[state.NodeID]int{},
	}
	s.home = home.New(home.Options{Self: "home", Claims: worldClaims{}, View: s, Seed: 1, Narrow: agents})
	for i := range agents {
		id := state.NodeID(fmt.Sprint("a", i))
		s.ids = append(s.ids, id)
		s.agents[id] = admit.New(admit.Options{Self: state.Member{ID: id}})
		s.agents[id].Announce(s.now, state.Backend{
			ID: "b", Services: []string{"s"}, Slots: 4, Cores: 16, MemoryMB: 64000, TTL: time.Hour})
	}
	return s
}

func (s *service) Candidates(string) (out []state.AgentLoad) {
	for _, id := range s.ids {
		out = append(out, s.agents[id].Load())
	}
	return out
}

func (s *service) after(d time.Duration, do func()) {
	s.later = append(s.later, worldEvent{s.now.Add(d), do})
}

func (s *service) act(at state.NodeID, actions []coordination.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case coordination.Granted:
			s.act("home", s.home.Verdict(s.now, a))
		case coordination.StartTask:
			s.start(at, a)
		case coordination.Send:
			switch m := a.Msg.(type) {
			case message.Answer:
				if m.Outcome != state.Complete {
					s.failed++
				}
			case message.Report:
				s.act("home", s.home.Handle(s.now, at, m))
			default:
				s.act(a.To, s.agents[a.To].Handle(s.now, "home", m))
			}
		}
	}
}

func (s *service) start(at state.NodeID, a coordination.StartTask) {
	s.starts[at]++
	ran, r := 50*time.Millisecond, state.TaskResult{}
	if s.broken[at] {
		ran, r.Err = time.Millisecond, "disk is full"
	}
	s.after(ran, func() {
		r.Ran = ran
		s.act(at, s.agents[at].Finished(s.now, a.Task, r))
	})
}

// run submits a job of one task every 5 ms and returns the starts at each agent
// and how many jobs did not complete.
func (s *service) run(d time.Duration) (starts map[state.NodeID]int, failed int) {
	s.starts, s.failed = map[state.NodeID]int{}, 0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		due := s.later
		s.later = nil
		for _, e := range due {
			if e.at.After(s.now) {
				s.later = append(s.later, e)
				continue
			}
			e.do()
		}
		if s.now.UnixMilli()%5 != 0 {
			continue
		}
		s.jobs++
		j := state.Job{Key: state.JobKey{Service: "s", ID: fmt.Sprint(s.jobs)}, Operator: "op", Tasks: []state.Task{{Cores: 1, MemoryMB: 100}}}
		s.act("home", s.home.Handle(s.now, "entry", message.Submit{Job: j, Digest: j.Digest(), Attempt: "1"}))
		s.act("home", s.home.Tick(s.now))
		for _, id := range s.ids {
			s.act(id, s.agents[id].Tick(s.now))
		}
	}
	return s.starts, s.failed
}

// One of nine workers fails all it gets within a millisecond, so it looks idle
// and would draw most of the work. It is found after five jobs, ejected, probed
// with one task at a time, ever more seldom; mended, it is back.
func TestWorkerThatFailsFastIsEjectedProbedAndBack(t *testing.T) {
	is := is.New(t)
	s := newService(9)
	s.broken["a4"] = true
	starts, failed := s.run(time.Second)
	is.True(starts["a4"] >= 5 && starts["a4"] <= 8)
	is.Equal(failed, starts["a4"])
	starts, _ = s.run(30 * time.Second) // some 6,000 jobs
	is.True(starts["a4"] >= 2 && starts["a4"] <= 6)
	s.broken["a4"] = false
	s.run(40 * time.Second) // a probe comes within this
	starts, failed = s.run(10 * time.Second)
	is.Equal(failed, 0)
	is.True(starts["a4"] > 100)
}

// Six of nine fail fast. Left out, the other three would be swamped and bad tasks
// would look like an outage: all nine go on getting work. When four of the six are
// mended the two others are left out, and the four are back.
func TestTwoThirdsFailingAreNotLeftOut(t *testing.T) {
	is := is.New(t)
	s := newService(9)
	for _, id := range s.ids[:6] {
		s.broken[id] = true
	}
	s.run(5 * time.Second)
	starts, _ := s.run(5 * time.Second)
	for _, id := range s.ids {
		is.True(starts[id] > 10)
	}
	for _, id := range s.ids[2:6] {
		s.broken[id] = false
	}
	s.run(40 * time.Second)
	starts, failed := s.run(10 * time.Second)
	is.True(failed <= 4) // probes
	for i, id := range s.ids {
		is.Equal(starts[id] > 100, i >= 2)
	}
}
