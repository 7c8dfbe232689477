package core

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/subset"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/store"
)

// dialledLinks records the open links of a set: the dialled address by agent.
type dialledLinks map[string]string

type fakeLink struct {
	node string
	all  dialledLinks
	down bool
}

func (l *fakeLink) Close()   { delete(l.all, l.node) }
func (l *fakeLink) Up() bool { return !l.down }

// fakeUser is the linkUser and the WorkPlacer of a LinkSet.
type fakeUser struct {
	share       subset.Share
	required    []string
	mayHaveRuns map[string]bool
	retired     map[string]bool
	free        float64
}

func (u *fakeUser) Share() subset.Share                  { return u.share }
func (u *fakeUser) Required() []string                   { return u.required }
func (u *fakeUser) MayHaveRunsAt(node string) bool       { return u.mayHaveRuns[node] }
func (u *fakeUser) SetRetired(node string, retired bool) { u.retired[node] = retired }
func (u *fakeUser) FreeShare([]string) float64           { return u.free }

func newFakeUser() *fakeUser {
	return &fakeUser{share: subset.FallbackShare("a"), mayHaveRuns: make(map[string]bool), retired: make(map[string]bool)}
}

// newFakeLinkSet returns a set whose subset has the given size; zero means all agents.
func newFakeLinkSet(size int, user linkUser, placer WorkPlacer) (*LinkSet, dialledLinks) {
	all := dialledLinks{}
	return NewLinkSet(size, user, placer, NewMetrics(), func(node string, reg Registration) AgentLink {
		all[node] = reg.LinkAddr
		return &fakeLink{node: node, all: all}
	}), all
}

func registered(node, addr string) store.Record {
	return store.Record{Key: node, Value: []byte(`{"links":"` + addr + `"}`)}
}

// Guards against links to stale addresses: while the set is closed, one agent is registered at
// another address and another is removed from the registry.
func TestLinksFollowAgentAddresses(t *testing.T) {
	is := is.New(t)
	user := newFakeUser()
	links, all := newFakeLinkSet(0, user, user)
	links.Apply(registered("b", "10.0.0.4:7"))
	links.Apply(registered("c", "10.0.0.3:7"))
	links.Open()
	links.Close()
	links.Apply(registered("b", "10.0.0.5:7"))
	links.Apply(store.Record{Key: "c"})
	links.Open()
	is.Equal(all, dialledLinks{"b": "10.0.0.5:7"})
	links.Apply(registered("b", "10.0.0.6:7"))
	is.Equal(all, dialledLinks{"b": "10.0.0.6:7"})
}

// registerFleet registers agents in five failure domains. Each tenth agent has the label "wide".
func registerFleet(l *LinkSet, agents int) {
	for i := range agents {
		label := "plain"
		if i%10 == 0 {
			label = "wide"
		}
		l.applyRecord(store.Record{Key: fmt.Sprintf("side-%d", i), Value: fmt.Appendf(nil,
			`{"links":"10.0.%d.%d:7","zone":"zone-%d","offer":{"service":"desk","labels":["%s"],"capacity":{"CPUMillis":16000}}}`, i/200, i%200, i%5, label)})
	}
}

// newLinkedFleet returns a set that has linked its subset of 160 agents, its open links, and the
// time at which it linked them.
func newLinkedFleet(size int, user *fakeUser) (*LinkSet, dialledLinks, time.Duration) {
	links, all := newFakeLinkSet(size, user, user)
	links.Open()
	registerFleet(links, 160)
	links.Reconcile(time.Hour)
	return links, all, time.Hour
}

// Guards against links to all agents: with a link to each of 160 agents an entry spends its
// processor time on heartbeats and its placement decisions get worse. It links 32 agents instead,
// spread evenly over the failure domains.
func TestEntryLinksASubset(t *testing.T) {
	is := is.New(t)
	_, all, _ := newLinkedFleet(32, newFakeUser())
	is.Equal(len(all), 32)
}

// Half of the links of a subset go down. Replacements are linked, and are dropped when the links are
// up again, but not before the last run at a replacement has ended: closing a link cuts off the runs
// behind it.
func TestDownAgentsAreReplaced(t *testing.T) {
	is := is.New(t)
	user := newFakeUser()
	links, all, now := newLinkedFleet(16, user)
	down := slices.Sorted(maps.Keys(all))[:8]
	for _, node := range down {
		links.links[node].AgentLink.(*fakeLink).down = true
	}
	links.Reconcile(now)
	links.Reconcile(now + downTimeout - 1)
	is.Equal(len(all), 16)
	now += downTimeout
	links.Reconcile(now)
	is.Equal(len(all), 24)

	var busy string
	for node := range all {
		if slices.Contains(down, node) {
			links.links[node].AgentLink.(*fakeLink).down = false
		}
	}
	links.Reconcile(now + 1)
	replacements := 0
	for node, retired := range user.retired {
		if retired {
			is.True(!slices.Contains(down, node))
			busy = node
			replacements++
		}
	}
	is.Equal(replacements, 8)
	user.mayHaveRuns[busy] = true
	links.Reconcile(now + 1 + retireDelay)
	is.Equal(len(all), 17)
	delete(user.mayHaveRuns, busy)
	links.Reconcile(now + 2 + retireDelay)
	is.Equal(len(all), 16)
}

// Guards against a loss of a fifth of an entry's capacity when one of five failure domains is
// drained, and against runs that are cut off there: other agents are linked in addition, and the
// links to the drained ones stay.
func TestDrainedAgentsAreReplaced(t *testing.T) {
	is := is.New(t)
	user := newFakeUser()
	links, all, now := newLinkedFleet(20, user)
	before := maps.Clone(all)
	links.SetDrained(drains.State{Position: 1, Domains: []string{"zone-2"}})
	links.Reconcile(now)
	serving := 0
	for node := range all {
		if links.known[node].Domain != "zone-2" {
			serving++
		}
	}
	is.Equal(serving, 20)
	for node := range before {
		is.True(all[node] != "")
	}
	links.SetDrained(drains.State{Position: 2})
	links.Reconcile(now)
	links.Reconcile(now + retireDelay)
	is.Equal(all, before)
}

// Guards against counting agents of a drained domain, which get no work, as agents that meet a need.
func TestNeedsIgnoreDrainedAgents(t *testing.T) {
	is := is.New(t)
	links, all, now := newLinkedFleet(16, newFakeUser())
	links.SetDrained(drains.State{Position: 1, Domains: []string{"zone-0"}})
	spec := &job.Spec{Steps: []job.Step{{Count: 1, Label: "wide", Demand: job.Demand{CPUMillis: 1000}}}}
	links.RecordNeed(now, spec, &job.Policy{Service: "desk"})
	links.Reconcile(now)
	is.True(len(all) <= 2*16) // all agents with the label are in zone-0, so linking them would not help
	links.SetDrained(drains.State{Position: 2})
	is.True(links.RecordNeed(now+needTTL+1, spec, &job.Policy{Service: "desk"}))
}

// Guards against links to all agents, or an endless loop, when every domain is drained.
func TestLinksAreBoundedWhenAllDomainsAreDrained(t *testing.T) {
	is := is.New(t)
	links, all, now := newLinkedFleet(16, newFakeUser())
	links.SetDrained(drains.State{Position: 1, Domains: []string{"zone-0", "zone-1", "zone-2", "zone-3", "zone-4"}})
	links.Reconcile(now)
	is.Equal(len(all), 32)
}

// Guards against jobs that are always refused for lack of a worker although suitable workers are
// idle: one needs a label that only a tenth of the agents have, another more cores than the subset
// has.
func TestSubsetIsExtendedForNeeds(t *testing.T) {
	is := is.New(t)
	links, all, now := newLinkedFleet(16, newFakeUser())
	spec := &job.Spec{Steps: []job.Step{{Count: 1, Label: "wide", Demand: job.Demand{CPUMillis: 1000}}}}
	is.True(links.RecordNeed(now, spec, &job.Policy{Service: "desk"}))
	links.Reconcile(now)
	wide := 0
	for node := range all {
		if slices.Contains(links.known[node].Offer.Labels, "wide") {
			wide++
		}
	}
	is.Equal(wide, minAgentsPerNeed)
	is.True(!links.RecordNeed(now, spec, &job.Policy{Service: "desk"}))

	spec = &job.Spec{Steps: []job.Step{{Count: 1000, Demand: job.Demand{CPUMillis: 1000}}}}
	is.True(links.RecordNeed(now, spec, &job.Policy{Service: "desk"}))
	links.Reconcile(now)
	is.True(len(all) >= 63) // 1,000 tasks of a core on workers of 16
	links.Reconcile(now + needTTL + 1)
	links.Reconcile(now + needTTL + 1 + retireDelay)
	is.Equal(len(all), 16)
}

// A job needs a label that no backend server has. It must not wait, since no link can help.
func TestUnmetNeedLinksNoAgents(t *testing.T) {
	is := is.New(t)
	links, all, now := newLinkedFleet(16, newFakeUser())
	spec := &job.Spec{Steps: []job.Step{{Count: 1, Label: "unheard of", Demand: job.Demand{CPUMillis: 1000}}}}
	is.True(!links.RecordNeed(now, spec, &job.Policy{Service: "desk"}))
	links.Reconcile(now)
	is.Equal(len(all), 16)
}

// Guards against a takeover that does not reach an agent outside the new owner's subset: the agent
// may have runs of the shard.
func TestRequiredAgentsAreLinked(t *testing.T) {
	is := is.New(t)
	user := newFakeUser()
	links, all, now := newLinkedFleet(16, user)
	for i := range 160 {
		user.required = append(user.required, fmt.Sprintf("side-%d", i))
	}
	user.required = append(user.required, "gone")
	links.Reconcile(now)
	is.Equal(len(all), 160)

	// Agents that are only required get no work: to count the jobs of a queue an entry asks
	// every owner, which otherwise doubled the size of its subset for half a minute.
	idle := 0
	for _, retired := range user.retired {
		if retired {
			idle++
		}
	}
	is.Equal(idle, 144)
}

// Several first jobs arrive at an owner at once. The first opens the links, and the others must wait
// until these are dialled. Guards against taking the moment between for a fleet without agents: the
// others were refused for lack of a worker.
func TestWantedLinksAreUnknownUntilTheyAreDialled(t *testing.T) {
	is := is.New(t)
	user := newFakeUser()
	var duringDial []bool
	var l *LinkSet
	l = NewLinkSet(0, user, user, NewMetrics(), func(string, Registration) AgentLink {
		_, known := l.NumWanted()
		duringDial = append(duringDial, known)
		return &fakeLink{}
	})
	l.applyRecord(registered("a", "10.0.0.1:1"))
	l.applyRecord(registered("b", "10.0.0.2:1"))
	l.Open()
	_, known := l.NumWanted()
	is.True(!known) // more agents may be registered
	l.mu.Lock()
	l.registryRead = true
	l.mu.Unlock()
	l.Close()
	l.Open()
	is.Equal(duringDial, []bool{false, false, false, false})
	wanted, known := l.NumWanted()
	is.True(known)
	is.Equal(wanted, 2)
}
