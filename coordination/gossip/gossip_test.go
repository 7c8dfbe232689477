package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

const (
	step    = 50 * time.Millisecond
	service = "bench"
)

// net carries messages between gossips in virtual time: each arrives a step
// later, unless drop says otherwise.
type net struct {
	now     time.Time
	nodes   map[state.NodeID]*Gossip
	order   []state.NodeID
	members []state.Member
	flying  []flight
	drop    func(from, to state.NodeID) bool
}

type flight struct {
	from state.NodeID
	send coordination.Send
}

func newNet(agents, entries int) *net {
	n := &net{
		now:   time.Unix(1000, 0),
		nodes: make(map[state.NodeID]*Gossip),
		drop:  func(_, _ state.NodeID) bool { return false },
	}
	for i := range agents {
		m := state.Member{
			ID:     state.NodeID(fmt.Sprintf("agent-%03d", i)),
			Region: "jeonbuk",
			Domain: fmt.Sprintf("d%d", i%2),
		}
		n.members = append(n.members, m)
		n.add(m, true)
		n.nodes[m.ID].SetOwn(n.now, load(8))
	}
	for i := range entries {
		n.add(state.Member{ID: state.NodeID(fmt.Sprintf("entry-%d", i)), Region: "jeonbuk"}, false)
	}
	return n
}

func (n *net) add(m state.Member, agent bool) {
	n.nodes[m.ID] = New(Options{
		Self:  m,
		Peers: func() []state.Member { return n.members },
		Seed:  uint64(len(n.order)),
		Agent: agent,
	})
	n.order = append(n.order, m.ID)
}

func (n *net) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(step) {
		arrived := n.flying
		n.flying = nil
		for _, f := range arrived {
			if node, ok := n.nodes[f.send.To]; ok && !n.drop(f.from, f.send.To) {
				n.post(f.send.To, node.Handle(n.now, f.from, f.send.Msg))
			}
		}
		for _, id := range n.order {
			if node, ok := n.nodes[id]; ok {
				n.post(id, node.Tick(n.now))
			}
		}
	}
}

func (n *net) post(from state.NodeID, actions []coordination.Action) {
	for _, a := range actions {
		n.flying = append(n.flying, flight{from, a.(coordination.Send)})
	}
}

// knowing counts the nodes whose news of an agent satisfies ok.
func (n *net) knowing(id state.NodeID, ok func(*state.AgentLoad) bool) int {
	count := 0
	for _, node := range n.nodes {
		if l, known := node.view.Load(id); known && ok(&l) {
			count++
		}
	}
	return count
}

func load(free int) state.AgentLoad {
	return state.AgentLoad{Services: []string{service}, Slots: 8, Free: free}
}

func isDraining(l *state.AgentLoad) bool { return l.Draining }

func anything(*state.AgentLoad) bool { return true }

// A backend server drains while a fifth of all messages is lost. Callers see
// refusals as long as some node still believes it takes work; within 3 s every
// agent and entry host must know better.
func TestDrainIsKnownEverywhereDespiteLosses(t *testing.T) {
	is := is.New(t)
	n := newNet(100, 2)
	n.run(10 * time.Second)
	rng := rand.New(rand.NewPCG(1, 1))
	n.drop = func(_, _ state.NodeID) bool { return rng.IntN(5) == 0 }
	leaving := load(0)
	leaving.Draining = true
	n.nodes["agent-007"].SetOwn(n.now, leaving)
	n.run(3 * time.Second)
	is.Equal(n.knowing("agent-007", isDraining), len(n.nodes))
}

// News overtakes news: a drain arrives, then an older load that says the agent
// takes work, straight and through a page. The older one must change nothing.
func TestOlderNewsNeverReplacesNewer(t *testing.T) {
	is := is.New(t)
	n := newNet(2, 0)
	g := n.nodes["agent-000"]
	item := func(seq uint64, beat uint32, draining bool) message.LoadItem {
		l := load(1)
		l.ID, l.Region, l.Seq, l.Draining = "agent-001", "jeonbuk", seq, draining
		return message.LoadItem{Load: l, Beat: beat}
	}
	g.Handle(n.now, "x", message.LoadNews{Loads: []message.LoadItem{item(5, 2, true)}})
	said := n.now
	n.now = n.now.Add(10 * time.Second)
	g.Handle(n.now, "x", message.LoadNews{Loads: []message.LoadItem{item(5, 2, true), item(4, 9, false)}})
	g.Handle(n.now, "x", message.LoadNews{Page: true, Loads: []message.LoadItem{item(5, 1, false)}})
	heard, _ := g.LastHeard("agent-001")
	is.Equal(heard, said) // the same words once more are no sign of life
	g.Observe(n.now, item(4, 0, false).Load)
	is.True(g.Candidates(service)[0].Draining || g.Candidates(service)[1].Draining)
	is.Equal(n.knowing("agent-001", isDraining), 1)
}

// An agent dies. The others go on telling one another what it said last, each
// time with a little less age than true, because time in flight isn't counted.
// Would that count as a sign of life, a dead agent would live on for ever and
// its shares would stay closed.
func TestEchoesAreNoSignOfLife(t *testing.T) {
	is := is.New(t)
	n := newNet(11, 0)
	n.run(10 * time.Second)
	died := n.now
	delete(n.nodes, "agent-003")
	n.run(DefaultExpiry + 10*time.Second)
	for _, g := range n.nodes {
		heard, ok := g.LastHeard("agent-003")
		is.True(ok)
		is.True(!heard.After(died.Add(10 * step)))
	}
	is.Equal(n.knowing("agent-003", anything), 0)
}

// The watchers of a member decide whether it is evicted. Each must hear it
// directly every few seconds, however large the fleet.
func TestWatchersHearDirectly(t *testing.T) {
	is := is.New(t)
	n := newNet(100, 0)
	n.run(10 * time.Second)
	n.run(DefaultInterval) // the round under way when the others were set up
	for _, id := range n.order {
		for _, w := range n.nodes[id].rounds.neighbours {
			heard, ok := n.nodes[w.ID].LastHeard(id)
			is.True(ok)
			is.True(n.now.Sub(heard) <= 5*DefaultInterval)
		}
	}
}

// A fifth of all messages is lost for two minutes while everybody lives. Some
// watchers miss several turns in a row; had they no means to ask, they would
// evict living agents. No silence may come near the 15 s of an eviction.
func TestLossesDoNotLookLikeDeath(t *testing.T) {
	is := is.New(t)
	n := newNet(60, 0)
	n.run(10 * time.Second)
	rng := rand.New(rand.NewPCG(1, 1))
	n.drop = func(_, _ state.NodeID) bool { return rng.IntN(5) == 0 }
	longest := time.Duration(0)
	for range 120 {
		n.run(time.Second)
		for _, g := range n.nodes {
			for _, w := range g.rounds.watched {
				heard, ok := g.LastHeard(w.ID)
				is.True(ok)
				longest = max(longest, n.now.Sub(heard))
			}
		}
	}
	is.True(longest < 13*time.Second)
}

// A newcomer reads a neighbour's whole table page by page instead of waiting
// for what others happen to send, and it floods nobody with old news.
func TestNewcomerCatchesUpAtOnce(t *testing.T) {
	is := is.New(t)
	n := newNet(200, 0)
	n.run(30 * time.Second)
	m := state.Member{ID: "agent-new", Region: "jeonbuk", Domain: "d0"}
	n.members = append(n.members, m)
	n.add(m, true)
	n.nodes[m.ID].SetOwn(n.now, load(8))
	n.run(3 * time.Second)
	is.True(len(n.nodes[m.ID].All(n.now)) >= 200)
	is.Equal(len(n.nodes[m.ID].hot), 0)
	is.Equal(n.knowing(m.ID, anything), 201)
}

// Agents of another region and forgotten incarnations take no room, and their
// late news doesn't bring them back.
func TestForgottenAndForeignAgentsStayAway(t *testing.T) {
	is := is.New(t)
	n := newNet(3, 0)
	n.run(5 * time.Second)
	g := n.nodes["agent-000"]
	g.Forget(n.now, "agent-001")
	late := load(8)
	late.ID, late.Region, late.Seq = "agent-001", "jeonbuk", 1
	foreign := load(8)
	foreign.ID, foreign.Region, foreign.Seq = "agent-far", "kigali", 1
	g.Handle(n.now, "agent-002", message.LoadNews{Loads: []message.LoadItem{{Load: late}, {Load: foreign}}})
	is.Equal(len(g.All(n.now)), 2)
}

// A stream of pulls under ever new names must not grow the memory.
func TestListenersAreBounded(t *testing.T) {
	is := is.New(t)
	n := newNet(2, 0)
	n.run(time.Second)
	g := n.nodes["agent-000"]
	for i := range 10 * maxListeners {
		g.Handle(n.now, state.NodeID(fmt.Sprintf("x%d", i)), message.LoadNews{Pull: true})
	}
	is.Equal(len(g.listeners), maxListeners)
	n.run(listenFor*DefaultInterval + 2*time.Second)
	is.Equal(len(g.listeners), 0)
}

// Two entries pull from different agents, and no roster names either. Each hears
// from agents how far the other has read, and of every agent too, with the
// moment at which each read it right to a step.
func TestPositionsReachEveryEntry(t *testing.T) {
	is := is.New(t)
	n := newNet(30, 2)
	readAt := n.now
	for i, id := range n.order {
		offset := int64(100 + i)
		n.nodes[id].o.Position = func(now time.Time) message.ReadPosition {
			return message.ReadPosition{Next: offset + 1, Age: now.Sub(readAt) + 1, Incomplete: i%7 == 0}
		}
	}
	n.run(40 * time.Second)
	for _, entry := range []state.NodeID{"entry-0", "entry-1"} {
		readings := n.nodes[entry].Readings()
		is.Equal(len(readings), len(n.order)-1)
		for _, r := range readings {
			is.Equal(n.nodes[r.ID].o.Position(n.now).Next, r.Offset+1)
			is.Equal(n.nodes[r.ID].o.Position(n.now).Incomplete, r.Incomplete)
			is.Equal(r.Outside, r.ID == "entry-0" || r.ID == "entry-1")
			is.True(r.At.Sub(readAt).Abs() < time.Second)
			is.True(n.now.Sub(r.Said) < 30*time.Second)
		}
	}
	// One that is gone is not shown for long.
	delete(n.nodes, "entry-1")
	for _, node := range n.nodes {
		node.o.Expiry = 20 * time.Second
	}
	n.run(30 * time.Second)
	for _, r := range n.nodes["entry-0"].Readings() {
		is.True(r.ID != "entry-1")
	}
}

// An entry knows all agents after a while. One falls silent: what it stands
// beside may be the worker that a task needs, so until it is out of the roster
// the entry doesn't know all.
func TestAllKnown(t *testing.T) {
	is := is.New(t)
	n := newNet(20, 1)
	entry := n.nodes["entry-0"]
	is.True(!entry.AllKnown())
	n.run(10 * time.Second)
	is.True(entry.AllKnown())
	delete(n.nodes, "agent-007")
	n.run(DefaultExpiry + 10*time.Second)
	is.True(!entry.AllKnown())
	n.members = slices.DeleteFunc(n.members, func(m state.Member) bool { return m.ID == "agent-007" })
	is.True(entry.AllKnown())
}
