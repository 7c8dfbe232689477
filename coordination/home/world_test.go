package home_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/admit"
	"github.com/shallotstep/shallotstep/coordination/home"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// world is a home, its agents and one entry over links that lose, repeat,
// delay and reorder messages. It checks the promises at every step.
type world struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Time
	home   *home.Home
	agents []*worldAgent
	events []worldEvent
	jobs   map[string]*worldJob
	// calm: no more faults, so that everything comes to its end.
	calm bool
}

type worldAgent struct {
	id   state.NodeID
	m    *admit.Machine
	dead bool
	gone bool
}

type worldEvent struct {
	at time.Time
	do func()
}

type worldJob struct {
	job      state.Job
	attempts int
	// open is the attempt that waits for an answer, sent what it submits.
	open     message.Attempt
	sent     message.Submit
	starts   map[int]int
	outcomes []state.Outcome
	// refused: told "not run" and not submitted anew since.
	refused bool
}

const worldAgents = 3

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e6, 0), jobs: map[string]*worldJob{}}
	w.home = home.New(home.Options{Self: "home", Claims: worldClaims{}, View: w, Seed: seed})
	for i := range worldAgents {
		a := &worldAgent{id: state.NodeID(fmt.Sprint("a", i))}
		a.m = admit.New(admit.Options{Self: state.Member{ID: a.id}})
		a.m.Announce(w.now, w.backend(fmt.Sprint("b", i)))
		w.agents = append(w.agents, a)
	}
	return w
}

func (w *world) backend(id string) state.Backend {
	return state.Backend{ID: id, Services: []string{"s"}, Slots: 3, Cores: 16, MemoryMB: 64000, TTL: time.Hour}
}

type worldClaims struct{}

func (worldClaims) Claim(_ time.Time, key state.JobKey, _ state.Digest, attempt message.Attempt, _ state.Epoch, _ message.Fence) []coordination.Action {
	return []coordination.Action{coordination.Granted{Key: key, Attempt: attempt}}
}

// Candidates shows what the agents say of themselves, even the dead.
func (w *world) Candidates(string) (out []state.AgentLoad) {
	for _, a := range w.agents {
		if !a.gone {
			out = append(out, a.m.Load())
		}
	}
	return out
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, worldEvent{w.now.Add(d), do})
}

// deliver has do happen once, twice, late or never.
func (w *world) deliver(do func()) {
	if w.calm {
		w.after(time.Millisecond, do)
		return
	}
	copies := 1
	switch x := w.rng.Float64(); {
	case x < 0.1:
		copies = 0
	case x < 0.25:
		copies = 2
	}
	for range copies {
		d := time.Duration(w.rng.IntN(5)) * time.Millisecond
		if w.rng.IntN(10) == 0 {
			d += time.Duration(w.rng.IntN(3000)) * time.Millisecond
		}
		w.after(d, do)
	}
}

func (w *world) homeActs(actions []coordination.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case coordination.Granted:
			w.after(time.Millisecond, func() { w.homeActs(w.home.Verdict(w.now, a)) })
		case coordination.Send:
			if m, ok := a.Msg.(message.Answer); ok {
				w.check(&m)
				w.deliver(func() { w.answered(&m) })
				continue
			}
			w.deliver(func() { w.toAgent(a) })
		}
	}
}

func (w *world) toAgent(s coordination.Send) {
	for _, a := range w.agents {
		if a.id == s.To && !a.dead {
			w.agentActs(a, a.m.Handle(w.now, "home", s.Msg))
		}
	}
}

func (w *world) agentActs(a *worldAgent, actions []coordination.Action) {
	for _, act := range actions {
		switch act := act.(type) {
		case coordination.Send:
			w.deliver(func() { w.homeActs(w.home.Handle(w.now, a.id, act.Msg)) })
		case coordination.StartTask:
			w.start(a, act)
		}
	}
}

func (w *world) start(a *worldAgent, s coordination.StartTask) {
	j := w.jobs[s.Task.Job.ID]
	if !w.calm && w.rng.IntN(50) == 0 {
		w.after(time.Millisecond, func() { w.agentActs(a, a.m.NotStarted(w.now, s.Task, state.ReasonNoBackend)) })
		return
	}
	j.starts[s.Task.Index]++
	if j.starts[s.Task.Index] > 1 {
		w.t.Fatalf("task %v was started twice", s.Task)
	}
	if j.refused {
		w.t.Fatalf("task %v started after its caller was told that it did not run", s.Task)
	}
	r := state.TaskResult{Payload: s.Spec.Payload}
	if w.rng.IntN(100) == 0 {
		r.Err = "bad task"
	}
	w.after(time.Duration(5+w.rng.IntN(200))*time.Millisecond, func() {
		if !a.dead {
			w.agentActs(a, a.m.Finished(w.now, s.Task, r))
		}
	})
}

// check holds each answer against what really ran when it was given.
func (w *world) check(m *message.Answer) {
	j := w.jobs[m.Key.ID]
	switch m.Outcome {
	case state.NotRun:
		if len(j.starts) > 0 {
			w.t.Fatalf("%s: told %q (%s), but %d tasks were started", m.Key.ID, m.Outcome, m.Reason, len(j.starts))
		}
		if m.Attempt == j.open {
			j.refused = true
		}
	case state.Complete:
		if len(m.Results) != len(j.job.Tasks) || len(j.starts) != len(j.job.Tasks) {
			w.t.Fatalf("%s: partial answer", m.Key.ID)
		}
		for i, r := range m.Results {
			if r.Index != i || string(r.Payload) != string(j.job.Tasks[i].Payload) || r.Err != "" {
				w.t.Fatalf("%s: wrong result %d: %+v", m.Key.ID, i, r)
			}
		}
	case state.Failed:
		if len(j.starts) == 0 && m.Reason != state.ReasonAgentLost {
			w.t.Fatalf("%s: told %q (%s), but nothing was started", m.Key.ID, m.Outcome, m.Reason)
		}
	}
}

func (w *world) answered(m *message.Answer) {
	j := w.jobs[m.Key.ID]
	if m.Attempt != j.open {
		return
	}
	j.open = ""
	j.outcomes = append(j.outcomes, m.Outcome)
	if m.Outcome == state.NotRun && m.RetryAfter > 0 && j.attempts < 5 {
		w.after(m.RetryAfter, func() { w.submit(j) })
	}
}

// submit makes a new attempt and repeats it until it is answered.
func (w *world) submit(j *worldJob) {
	if j.open != "" {
		return
	}
	j.attempts++
	j.open = message.Attempt(fmt.Sprint(j.attempts))
	j.refused = false
	j.sent = message.Submit{Job: j.job, Digest: j.job.Digest(), Attempt: j.open}
	if w.rng.IntN(2) == 0 {
		j.sent.Deadline = time.Duration(20+w.rng.IntN(1000)) * time.Millisecond
	}
	w.repeat(j, j.open)
}

func (w *world) repeat(j *worldJob, attempt message.Attempt) {
	if j.open != attempt {
		return
	}
	m := j.sent
	w.deliver(func() { w.homeActs(w.home.Handle(w.now, "entry", m)) })
	w.after(500*time.Millisecond, func() { w.repeat(j, attempt) })
}

func (w *world) newJob(i int) {
	j := &worldJob{starts: map[int]int{}}
	j.job = state.Job{Key: state.JobKey{Service: "s", ID: fmt.Sprint("j", i)}, Operator: fmt.Sprint(i % 2)}
	for k := range 1 + w.rng.IntN(8) {
		j.job.Tasks = append(j.job.Tasks, state.Task{Payload: fmt.Appendf(nil, "%d/%d", i, k), Cores: 1, MemoryMB: 100})
	}
	w.jobs[j.job.Key.ID] = j
	w.submit(j)
	if w.rng.IntN(5) == 0 {
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() {
			w.deliver(func() { w.homeActs(w.home.Handle(w.now, "entry", message.Cancel{Key: j.job.Key, Attempt: "cancel"})) })
		})
	}
	// The caller may submit again after it was answered.
	w.after(time.Duration(w.rng.IntN(5000))*time.Millisecond, func() { w.submit(j) })
}

// fault has an agent die and be evicted, or a link break, or a backend restart.
func (w *world) fault() {
	a := w.agents[w.rng.IntN(len(w.agents))]
	switch w.rng.IntN(4) {
	case 0:
		if a == w.agents[0] {
			return // one survives
		}
		a.dead = true
		w.after(time.Second, func() {
			a.gone = true
			w.homeActs(w.home.PeerGone(w.now, a.id))
		})
	case 1:
		w.homeActs(w.home.PeerDown(w.now, a.id))
	case 2:
		w.agentActs(a, a.m.Announce(w.now, w.backend(fmt.Sprint("again", w.rng.Int()))))
	case 3:
		w.agentActs(a, a.m.Withdraw(w.now, "b1"))
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Millisecond) {
		if w.now.UnixMilli()%int64(coordination.TickInterval/time.Millisecond) == 0 {
			w.homeActs(w.home.Tick(w.now))
			for _, a := range w.agents {
				if !a.dead {
					w.agentActs(a, a.m.Tick(w.now))
				}
			}
		}
		due := w.events
		w.events = nil
		for _, e := range due {
			if e.at.After(w.now) {
				w.events = append(w.events, e)
				continue
			}
			e.do()
		}
	}
}

// Callers submit, cancel and submit again while messages are lost, repeated,
// late and out of order, agents die and are evicted, and backend servers
// restart or leave. Nothing is started twice; "not run" is said only of what
// never ran and never will; a complete answer is whole; everyone is answered.
func TestPromisesHoldInARandomWorld(t *testing.T) {
	seeds := 150
	if testing.Short() {
		seeds = 10
	}
	counts := map[state.Outcome]int{}
	for seed := range seeds {
		w := newWorld(t, uint64(seed))
		for i := range 12 {
			w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() { w.newJob(i) })
		}
		for range 3 {
			w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, w.fault)
		}
		w.run(8 * time.Second)
		w.calm = true
		w.run(45 * time.Second)
		for id, j := range w.jobs {
			if j.open != "" {
				t.Fatalf("seed %d: attempt %s of %s was never answered", seed, j.open, id)
			}
			for _, o := range j.outcomes {
				counts[o]++
			}
		}
		if !w.home.Idle() {
			t.Fatalf("seed %d: home is not idle: %+v", seed, w.home.Stats())
		}
	}
	t.Log(counts)
	for _, o := range []state.Outcome{state.Complete, state.NotRun, state.Failed} {
		if counts[o] == 0 {
			t.Fatalf("no answer %q at all: %v", o, counts)
		}
	}
}
