package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// alive is a task that may use the worker, as the test keeps books on it.
type alive struct {
	size    resources // the declared size, or what was reported if that is more
	backend string
	until   time.Time // zero: it hasn't ended
}

// books are kept beside the machine, from what goes in and comes out of it alone.
type books struct {
	*bench
	rng    *rand.Rand
	size   state.Backend
	alive  map[state.TaskKey]*alive
	tries  map[state.TaskKey]uint32
	begun  map[state.TaskKey]int
	sent   []message.Assign
	nextID int
	starts int
}

func newBooks(seed uint64) *books {
	b := &books{
		rng: rand.New(rand.NewPCG(seed, 1)), alive: map[state.TaskKey]*alive{},
		tries: map[state.TaskKey]uint32{}, begun: map[state.TaskKey]int{},
	}
	b.size = b.draw("b0")
	b.bench = newBench(Options{QueueLimit: 4, Caution: float64(1 + seed%2)}, b.size)
	return b
}

func (b *books) draw(id string) state.Backend {
	return state.Backend{
		ID: id, Services: []string{"s"}, Slots: 1 + b.rng.IntN(12), Connections: 1 + b.rng.IntN(16),
		Cores: 1 + float64(b.rng.IntN(16)), MemoryMB: 200 + b.rng.Int64N(2000), Accelerators: b.rng.Int64N(5), TTL: 4 * time.Second,
	}
}

// sum adds up what may be in use, and counts the tasks of the present server.
func (b *books) sum() (all resources, mine int) {
	for key, a := range b.alive {
		if !a.until.IsZero() && !b.now.Before(a.until) {
			delete(b.alive, key)
			continue
		}
		all.add(a.size)
		if a.backend == b.size.ID {
			mine++
		}
	}
	return all, mine
}

// check returns what is wrong with the starts among the actions, if anything.
func (b *books) check(actions []coordination.Action) error {
	for _, act := range actions {
		s, ok := act.(coordination.StartTask)
		if !ok {
			continue
		}
		b.starts++
		if b.begun[s.Task]++; b.begun[s.Task] > 1 {
			return fmt.Errorf("%v started twice", s.Task)
		}
		b.alive[s.Task] = &alive{backend: b.size.ID, size: resources{s.Spec.Cores, s.Spec.MemoryMB, s.Spec.Accelerators, 0}}
		all, mine := b.sum()
		switch {
		case s.Backend != b.size.ID:
			return fmt.Errorf("start given to %q, %q is there", s.Backend, b.size.ID)
		case all.memoryMB > b.size.MemoryMB || all.accelerators > b.size.Accelerators || all.cores > b.size.Cores+coreSlack:
			return fmt.Errorf("%v beside others comes to %+v of %+v", s.Task, all, b.size)
		case mine > b.size.Slots || mine > b.size.Connections:
			return fmt.Errorf("%d tasks on %d slots, %d connections", mine, b.size.Slots, b.size.Connections)
		case b.m.used.memoryMB > b.size.MemoryMB || b.m.used.accelerators > b.size.Accelerators:
			return fmt.Errorf("%+v reserved of %+v", b.m.used, b.size)
		}
	}
	return nil
}

// reserved checks that what the machine holds in all is what its tasks hold.
func (b *books) reserved() error {
	var all resources
	for _, e := range b.m.running {
		all.add(e.reserved)
	}
	for i := range b.m.held {
		all.add(b.m.held[i].reserved)
	}
	u := b.m.used
	if d := u.cores - all.cores; all.memoryMB != u.memoryMB || all.accelerators != u.accelerators || d > coreSlack || d < -coreSlack {
		return fmt.Errorf("used %+v, the tasks hold %+v", u, all)
	}
	return nil
}

// any returns one of the tasks that haven't ended, or of those of unknown end.
func (b *books) any(unknown bool) (state.TaskKey, bool) {
	for i := range b.sent {
		a := &b.sent[(i+b.rng.IntN(len(b.sent)))%len(b.sent)]
		k := state.TaskKey{Job: a.Key, Index: a.Indexes[0]}
		if x := b.alive[k]; x != nil && x.until.IsZero() != unknown {
			return k, true
		}
	}
	return state.TaskKey{}, false
}

func (b *books) assign() message.Assign {
	b.nextID++
	a := assign(fmt.Sprint("j", b.nextID), 0, b.rng.Int64N(800), 0)
	a.Tasks[0].Cores = float64(b.rng.IntN(40)) / 10
	a.Tasks[0].Accelerators = max(0, b.rng.Int64N(8)-5)
	if b.rng.IntN(3) == 0 {
		a.Deadline = time.Duration(b.rng.Int64N(int64(time.Second)))
	}
	b.sent = append(b.sent, a)
	return a
}

// announce renews, changes sizes, or puts another server in the old one's place.
func (b *books) announce() []coordination.Action {
	switch b.rng.IntN(8) {
	case 0, 1:
		b.size = b.draw(b.size.ID)
	case 2:
		b.size = b.draw(fmt.Sprint("b", b.nextID, "-", b.now.UnixNano()))
		for _, a := range b.alive {
			if a.until.IsZero() {
				a.until = b.now.Add(DefaultTaskLease)
			}
		}
	}
	return b.m.Announce(b.now, b.size)
}

// step lets one thing happen.
func (b *books) step() []coordination.Action {
	b.now = b.now.Add(time.Duration(b.rng.Int64N(int64(100 * time.Millisecond))))
	switch x := b.rng.IntN(100); {
	case x < 40:
		return b.m.Handle(b.now, home, b.assign())
	case x < 50: // a late copy, perhaps at the try after a refusal
		if len(b.sent) == 0 {
			return nil
		}
		a := b.sent[b.rng.IntN(len(b.sent))]
		a.Tries = []uint32{uint32(b.rng.IntN(3))}
		return b.m.Handle(b.now, home, a)
	case x < 60:
		return b.announce()
	case x < 61: // the agent pauses, perhaps beyond its lease
		b.now = b.now.Add(time.Duration(b.rng.Int64N(int64(8 * time.Second))))
	case x < 70:
		return b.m.Tick(b.now)
	}
	unknown := b.rng.IntN(10) == 0
	k, ok := b.any(unknown)
	if !ok {
		return nil
	}
	if unknown {
		return b.report(k)
	}
	return b.ofTask(k, b.rng.IntN(10))
}

func (b *books) ofTask(k state.TaskKey, what int) []coordination.Action {
	a := b.alive[k]
	switch what {
	case 0: // nobody knows how it ends
		a.until = b.now.Add(DefaultTaskLease)
		return b.m.StartUnknown(b.now, k)
	case 1: // told to stop, it goes on
		return b.m.Handle(b.now, home, message.Drop{Key: k.Job})
	case 2, 3:
		return b.report(k)
	}
	delete(b.alive, k)
	return b.m.Finished(b.now, k, state.TaskResult{Ran: time.Second})
}

// report has the backend server say what a task uses.
func (b *books) report(k state.TaskKey) []coordination.Action {
	a := b.alive[k]
	u := state.Usage{Task: k, MemoryMB: b.rng.Int64N(3000), Cores: float64(b.rng.IntN(60)) / 10, Ran: time.Second}
	a.size.memoryMB, a.size.cores = max(a.size.memoryMB, u.MemoryMB), max(a.size.cores, u.Cores)
	return b.m.Usage(b.now, []state.Usage{u})
}

// Whatever sizes workers announce and tasks declare, whatever is reported, lost,
// repeated, late, replaced or paused: at each start, all that may be alive by
// then together has room on the worker, by its declared size or by the reported
// one where that is more. Cores, memory, accelerators, slots and connections.
func TestNothingIsOvercommitted(t *testing.T) {
	const seeds, steps = 300, 600
	starts := 0
	for seed := range uint64(seeds) {
		b := newBooks(seed)
		for n := range steps {
			err := b.check(b.step())
			if err == nil {
				err = b.reserved()
			}
			if err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, n, err)
			}
		}
		starts += b.starts
	}
	t.Logf("%d starts", starts)
	if starts < 15*seeds {
		t.Fatalf("only %d starts: the test shows too little", starts)
	}
}
