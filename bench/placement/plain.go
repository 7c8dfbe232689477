package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// homeMachine is what runs jobs at a node.
type homeMachine interface {
	Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action
	Verdict(now time.Time, a coordination.Action) []coordination.Action
	Tick(now time.Time) []coordination.Action
}

// plainHome sends every task at once to the agent that a plain policy names.
// It stands beside the real home as something to compare it with: agents queue
// all that they are sent, and what one refuses goes to the next.
type plainHome struct {
	nd   *node
	jobs map[state.JobKey]*plainJob
	pick picker
}

type plainJob struct {
	key      state.JobKey
	operator string
	attempt  message.Attempt
	specs    []state.Task
	tries    []uint32
	at       []int // the agent that has the task, or nobody
	left     int
	deadline time.Time
}

// nobody has a task that ended.
const nobody = -1

func newPlainHome(nd *node, pick picker) *plainHome {
	return &plainHome{nd: nd, jobs: make(map[state.JobKey]*plainJob), pick: pick}
}

// Handle takes a Submit or a Report.
func (h *plainHome) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	switch msg := msg.(type) {
	case message.Submit:
		j := &plainJob{
			key: msg.Job.Key, operator: msg.Job.Operator, attempt: msg.Attempt, specs: msg.Job.Tasks,
			tries: make([]uint32, len(msg.Job.Tasks)), at: make([]int, len(msg.Job.Tasks)),
			left: len(msg.Job.Tasks), deadline: now.Add(msg.Deadline),
		}
		h.jobs[j.key] = j
		return claims{}.Claim(now, j.key, msg.Digest, msg.Attempt, msg.Epoch, msg.Fence)
	case message.Report:
		return h.report(now, from, &msg)
	}
	return nil
}

// Verdict places the tasks of a job whose claim is granted.
func (h *plainHome) Verdict(now time.Time, a coordination.Action) []coordination.Action {
	j := h.jobs[a.(coordination.Granted).Key]
	if j == nil {
		return nil
	}
	all := make([]int, len(j.specs))
	for i := range all {
		all[i] = i
	}
	return h.place(now, j, all, nobody)
}

// place sends tasks out, those for one agent in one message. The agent that has
// just refused them gets none.
func (h *plainHome) place(now time.Time, j *plainJob, indexes []int, refuser int) []coordination.Action {
	byAgent := make(map[int][]int)
	var order []int
	for _, index := range indexes {
		to := h.pick.next(refuser)
		if byAgent[to] == nil {
			order = append(order, to)
		}
		byAgent[to] = append(byAgent[to], index)
		j.at[index] = to
	}
	var out []coordination.Action
	for _, to := range order {
		m := message.Assign{Key: j.key, Operator: j.operator, Indexes: byAgent[to], Deadline: max(1, j.deadline.Sub(now))}
		for _, index := range m.Indexes {
			m.Tasks = append(m.Tasks, j.specs[index])
			m.Tries = append(m.Tries, j.tries[index])
		}
		out = append(out, coordination.Send{To: h.nd.s.nodes[to].id, Msg: m})
	}
	return out
}

func (h *plainHome) report(now time.Time, from state.NodeID, r *message.Report) []coordination.Action {
	j := h.jobs[r.Key]
	if j == nil {
		return nil
	}
	sender := h.nd.s.byID[from]
	for i := range r.Results {
		index := r.Results[i].Index
		if j.at[index] != sender {
			continue
		}
		j.at[index] = nobody
		j.left--
		if r.Results[i].Err != "" {
			return h.finish(j, state.Failed)
		}
	}
	if j.left == 0 {
		return h.finish(j, state.Complete)
	}
	var again []int
	for i, index := range r.Refused {
		if j.at[index] == sender && r.Tries[i] == j.tries[index] {
			j.tries[index]++
			again = append(again, index)
		}
	}
	return h.place(now, j, again, sender)
}

// finish answers and has the agents give up what is left of the job.
func (h *plainHome) finish(j *plainJob, outcome state.Outcome) []coordination.Action {
	delete(h.jobs, j.key)
	out := []coordination.Action{coordination.Send{To: entry, Msg: message.Answer{Key: j.key, Attempt: j.attempt, Outcome: outcome}}}
	left := slices.DeleteFunc(slices.Clone(j.at), func(to int) bool { return to == nobody })
	slices.Sort(left)
	for _, to := range slices.Compact(left) {
		out = append(out, coordination.Send{To: h.nd.s.nodes[to].id, Msg: message.Drop{Key: j.key}})
	}
	return out
}

// Tick ends the jobs whose deadline has passed.
func (h *plainHome) Tick(now time.Time) []coordination.Action {
	var late []*plainJob
	for _, j := range h.jobs {
		if !now.Before(j.deadline) {
			late = append(late, j)
		}
	}
	slices.SortFunc(late, func(a, b *plainJob) int { return a.deadline.Compare(b.deadline) })
	var out []coordination.Action
	for _, j := range late {
		out = append(out, h.finish(j, state.Failed)...)
	}
	return out
}

// picker names the agent for the next task, which isn't the one to avoid.
type picker interface{ next(avoid int) int }

type randomPick struct {
	rng *rand.Rand
	n   int
}

func (p *randomPick) next(avoid int) int {
	for {
		if to := p.rng.IntN(p.n); to != avoid {
			return to
		}
	}
}

// roundRobin takes the agents in turn. Each home begins elsewhere.
type roundRobin struct{ last, n int }

func (p *roundRobin) next(avoid int) int {
	p.last = (p.last + 1) % p.n
	if p.last == avoid {
		p.last = (p.last + 1) % p.n
	}
	return p.last
}

// leastLoaded takes the agent with the most room by the loads last spread, by
// lot among equals. If it counts its own, the tasks that this home has sent
// since then are taken off.
type leastLoaded struct {
	s       *sim
	rng     *rand.Rand
	own     bool
	spreads int
	sent    []int
	best    []int // scratch space
}

func (p *leastLoaded) next(avoid int) int {
	if p.sent == nil || p.spreads != p.s.spreads {
		p.sent = make([]int, len(p.s.loads))
		p.spreads = p.s.spreads
	}
	most := 0
	p.best = p.best[:0]
	for i := range p.s.loads {
		if i == avoid || p.s.loads[i].Ejected {
			continue
		}
		room := p.s.loads[i].Free - p.s.loads[i].Queued - p.sent[i]
		if len(p.best) == 0 || room > most {
			p.best = p.best[:0]
			most = room
		}
		if room == most {
			p.best = append(p.best, i)
		}
	}
	to := p.best[p.rng.IntN(len(p.best))]
	if p.own {
		p.sent[to]++
	}
	return to
}

// The ways to place tasks.
const (
	wayOurs       = "ours"
	wayRandom     = "random"
	wayRoundRobin = "roundrobin"
	wayLeast      = "least"
	wayLeastOwn   = "leastown"
	wayPacked     = "packed"
)

var allWays = []string{wayOurs, wayRandom, wayRoundRobin, wayLeast, wayLeastOwn, wayPacked}

// unbounded is a queue at an agent that is never full.
const unbounded = 1 << 30

// pickerOf returns a plain way's policy for one home, or nil if there is no
// such way.
func (s *sim) pickerOf(i int) picker {
	rng := rand.New(rand.NewPCG(s.c.seed, uint64(i)+2))
	switch s.c.way {
	case wayRandom:
		return &randomPick{rng, s.c.agents}
	case wayRoundRobin:
		return &roundRobin{rng.IntN(s.c.agents), s.c.agents}
	case wayLeast, wayLeastOwn:
		return &leastLoaded{s: s, rng: rng, own: s.c.way == wayLeastOwn}
	}
	return nil
}
