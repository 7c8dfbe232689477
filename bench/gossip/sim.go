package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

const (
	// step is the resolution of virtual time. A message arrives at the next
	// step, which is longer than any latency between the hosts.
	step = 10 * time.Millisecond
	// warmUp is virtual time before anything is measured.
	warmUp = 2 * time.Minute
	// changeEvery is between two changes of an agent's own load.
	changeEvery = 500 * time.Millisecond
)

// fleet is a size to measure at. Domains are per region.
type fleet struct {
	agents  int
	regions int
	domains int
}

// members draws incarnations by the seed: who watches whom hangs on them, and so
// does the load of the busiest node.
func (f fleet) members() []state.Member {
	rng := rand.New(rand.NewPCG(*seed, 0))
	out := make([]state.Member, f.agents)
	for i := range out {
		region := i % f.regions
		domain := i / f.regions % f.domains
		out[i] = state.Member{
			ID:     state.NodeID(fmt.Sprintf("agent-%04d@%016x", i, rng.Uint64())),
			Addr:   fmt.Sprintf("10.%d.%d.%d:7401", region, i/250, i%250),
			Region: fmt.Sprintf("region-%d", region),
			Domain: fmt.Sprintf("domain-%d", domain),
			Rack:   fmt.Sprintf("rack-%d", i/20),
		}
	}
	return out
}

// spreader is a node of the way being measured.
type spreader interface {
	SetOwn(now time.Time, load state.AgentLoad)
	Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action
	Tick(now time.Time) []coordination.Action
	Load(id state.NodeID) (state.AgentLoad, bool)
	LastHeard(id state.NodeID) (time.Time, bool)
}

// world runs the nodes of one fleet.
type world struct {
	now     time.Time
	rng     *rand.Rand
	members []state.Member
	nodes   []spreader
	index   map[state.NodeID]int
	loads   []state.AgentLoad
	flying  []flight
	spare   []flight
	meter   meter
	// spent is the processor time used inside the nodes.
	spent time.Duration
}

type flight struct {
	from int
	to   int
	msg  message.LoadNews
}

func newWorld(w way, f fleet) *world {
	sim := &world{
		now:     time.Unix(1_000_000, 0),
		rng:     rand.New(rand.NewPCG(*seed, uint64(f.agents))),
		members: f.members(),
		index:   make(map[state.NodeID]int),
	}
	sim.meter.init(f.agents)
	for i := range sim.members {
		sim.index[sim.members[i].ID] = i
		sim.nodes = append(sim.nodes, w.build(sim.members, i, *seed))
		sim.loads = append(sim.loads, ownLoad(sim.members[i]))
		sim.nodes[i].SetOwn(sim.now, sim.loads[i])
	}
	return sim
}

func ownLoad(m state.Member) state.AgentLoad {
	return state.AgentLoad{
		ID: m.ID, Addr: m.Addr, Region: m.Region, Domain: m.Domain, Rack: m.Rack,
		Seq: 1, Services: []string{"bench-desk"}, Slots: 8, Free: 8,
		Cores: 16, MemoryMB: 65536, Accelerators: 2,
	}
}

func (s *world) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

func (s *world) step() {
	s.now = s.now.Add(step)
	s.changeLoads()
	arrived := s.flying
	s.flying = s.spare[:0]
	began := time.Now()
	for _, f := range arrived {
		s.post(f.to, s.nodes[f.to].Handle(s.now, s.members[f.from].ID, f.msg))
	}
	for i := range s.nodes {
		s.post(i, s.nodes[i].Tick(s.now))
	}
	s.spent += time.Since(began)
	s.spare = arrived
	for _, f := range s.flying {
		s.meter.count(f)
	}
}

// changeLoads gives every agent another number of free slots now and then.
func (s *world) changeLoads() {
	steps := int(changeEvery / step)
	turn := int(s.now.UnixNano()/int64(step)) % steps
	for i := turn; i < len(s.nodes); i += steps {
		l := &s.loads[i]
		l.Free = s.rng.IntN(l.Slots + 1)
		l.Seq++
		s.nodes[i].SetOwn(s.now, *l)
	}
}

func (s *world) post(from int, actions []coordination.Action) {
	for _, a := range actions {
		send := a.(coordination.Send)
		to, ok := s.index[send.To]
		if !ok || *loss > 0 && s.rng.Float64() < *loss {
			continue
		}
		s.flying = append(s.flying, flight{from, to, send.Msg.(message.LoadNews)})
	}
}
