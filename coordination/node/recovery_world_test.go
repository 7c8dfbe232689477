package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
)

// fault is what happens to the holder of a role.
type fault int

const (
	kill    fault = iota // the process ends, its host refuses connections
	vanish               // the whole machine ends, nobody refuses anything
	pause                // it stands still, some of the times until it is evicted
	replace              // it is killed and started anew at once
	faults
)

// role is what a process is to a job, or to the system.
type role int

const (
	entryRole role = iota
	homeRole
	witnessRole
	agentRole // an agent that runs tasks
	backendRole
	logRole
	roles
)

// rebootMax is the longest that the platform takes to start a dead process anew.
const rebootMax = 10 * time.Second

// recovery drives a world through deaths, pauses and replacements.
type recovery struct {
	*world
	entries, agents []*host
	// names are those of the agents, incarnations how often each was started.
	incarnations map[string]int
	domains      map[string]string
	starting     int
	submitted    int
	// hit counts the faults by role.
	hit map[role]int
}

// strike brings a fault to the holder of a role for the job of a ticket.
func (r *recovery) strike(who role, what fault, tk *ticket) {
	r.hit[who]++
	switch who {
	case entryRole:
		r.strikeEntry(tk.entry, what)
	case homeRole, witnessRole:
		home, witness := homeOf(r.world, r.liveEntry(nil), tk.job.Key.ID)
		r.strikeAgent(map[role]*host{homeRole: home, witnessRole: witness}[who], what)
	case agentRole:
		r.strikeAgent(r.busyAgent(), what)
	case backendRole:
		r.strikeBackend(r.busyAgent(), what)
	case logRole:
		r.logOut = true
		r.at(time.Duration(r.rng.Int64N(int64(20*time.Second))), func() { r.logOut = false })
	}
}

// busyAgent returns the agent at whose backend server most tasks run.
func (r *recovery) busyAgent() *host {
	return slices.MaxFunc(r.agents, func(a, b *host) int { return len(a.running) - len(b.running) })
}

// up counts the agents that are there and don't stand still.
func (r *recovery) up() int {
	n := 0
	for _, a := range r.agents {
		if !a.dead && !a.paused.After(r.now) {
			n++
		}
	}
	return n
}

// strikeAgent spares the last two: with fewer no pair is left to recover.
func (r *recovery) strikeAgent(h *host, what fault) {
	if h == nil || h.dead || r.up() <= 2 {
		return
	}
	switch what {
	case pause:
		h.paused = r.now.Add(time.Duration(r.rng.Int64N(int64(40 * time.Second))))
	default:
		r.end(h, what == vanish)
		r.reboot(h, what == replace)
	}
}

// end ends a process. Unless its machine is gone too, links to it break at once.
func (r *recovery) end(h *host, silent bool) {
	h.dead, h.silent = true, silent
	clear(h.running)
	if silent {
		return
	}
	for _, other := range r.hosts {
		r.at(worldLatency, func() {
			r.tell(other, func() []coordination.Action { return other.node.PeerDown(r.now, h.id) })
		})
	}
}

// reboot has the platform start a dead agent anew, as another incarnation.
func (r *recovery) reboot(old *host, soon bool) {
	after := 50 * time.Millisecond
	if !soon {
		after = time.Duration(r.rng.Int64N(int64(rebootMax)))
	}
	name, _, _ := strings.Cut(string(old.id), "@")
	r.starting++
	r.at(after, func() {
		r.starting--
		r.incarnations[name]++
		r.watch(r.addIncarnation(name, r.incarnations[name], r.domains[name], 4))
		r.agents = slices.DeleteFunc(r.agents, func(h *host) bool { return h == old })
	})
}

// watch ends an agent that finds itself evicted, as its daemon does.
func (r *recovery) watch(h *host) {
	r.agents = append(r.agents, h)
	r.every(h, 100*time.Millisecond, func() {
		if h.agent.Evicted() && !h.dead {
			r.end(h, false)
			r.reboot(h, true)
		}
	})
}

func (r *recovery) strikeBackend(h *host, what fault) {
	if h.dead || !h.backend {
		return
	}
	if what == pause {
		// Its agent hears of nothing that ends there for a while.
		for _, task := range sortedTasks(h.running) {
			delete(h.running, task)
			r.at(time.Duration(r.rng.Int64N(int64(20*time.Second))), func() { r.lose(h, task) })
		}
		return
	}
	h.backend = false
	for _, task := range sortedTasks(h.running) {
		r.at(20*time.Millisecond, func() { r.lose(h, task) })
	}
	clear(h.running)
	after := 50 * time.Millisecond
	if what != replace {
		after = time.Duration(r.rng.Int64N(int64(rebootMax)))
	}
	r.at(after, func() { h.backends++; h.backend = true })
}

func sortedTasks(set map[state.TaskKey]bool) []state.TaskKey {
	var out []state.TaskKey
	for k := range set {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b state.TaskKey) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	return out
}

// lose tells an agent that a task's end is lost.
func (r *recovery) lose(h *host, task state.TaskKey) {
	r.tell(h, func() []coordination.Action { return h.agent.StartUnknown(r.now, task) })
}

// strikeEntry spares the last entry. The callers of a dead one lose their
// connections and submit again through another.
func (r *recovery) strikeEntry(h *host, what fault) {
	other := r.liveEntry(h)
	if h.dead || other == nil || h.paused.After(r.now) {
		return
	}
	if what == pause {
		h.paused = r.now.Add(time.Duration(r.rng.Int64N(int64(10 * time.Second))))
		return
	}
	r.end(h, what == vanish)
	for _, id := range r.open() {
		tk := r.tickets[id]
		if tk.entry == h {
			tk.orphan = true
			left := max(time.Second, tk.deadline.Sub(r.now))
			r.resubmit(other, tk.job, left)
		}
	}
	name, _, _ := strings.Cut(string(h.id), "@")
	r.entries = append(r.entries, r.addEntry(fmt.Sprintf("%s.%d", name, len(r.hosts))))
}

// liveEntry returns an entry that takes submissions, or nil.
func (r *recovery) liveEntry(but *host) *host {
	for _, e := range r.entries {
		if e != but && !e.dead && !e.paused.After(r.now) && e.node.(*Entry).Ready() {
			return e
		}
	}
	return nil
}

// resubmit sends the very same job once more.
func (r *recovery) resubmit(entry *host, job state.Job, deadline time.Duration) {
	r.last++
	id := r.last
	r.tickets[id] = &ticket{job: job, begun: r.now, entry: entry, deadline: r.now.Add(deadline)}
	r.execute(entry, entry.node.(*Entry).Submit(r.now, id, job, job.Digest(), deadline))
}

// open lists the tickets whose callers wait, in order.
func (r *recovery) open() []uint64 {
	var out []uint64
	for id, tk := range r.tickets {
		if tk.answer == nil && !tk.orphan {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// hearBound is how long after its deadline a caller may have to wait for its
// answer: a tick of its entry.
const hearBound = 2 * worldTick

// verify checks what must hold after each step.
func (r *recovery) verify() {
	r.t.Helper()
	for _, id := range r.open() {
		tk := r.tickets[id]
		due := tk.deadline
		if tk.entry.paused.After(due) {
			due = tk.entry.paused
		}
		if r.now.Sub(due) > hearBound {
			r.fail("ticket %d (%s) has no answer %v after its deadline", id, tk.job.Key.ID, r.now.Sub(tk.deadline))
		}
	}
	for key, n := range r.starts {
		if n > 1 {
			r.fail("%s task %d was started %d times", key.Job.ID, key.Index, n)
		}
	}
	if len(r.faults) > 0 {
		r.t.Fatalf("seed %d: %v", r.seed, r.faults)
	}
}
