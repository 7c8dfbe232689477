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

// dialled stands for the links of a set, by agent and address.
type dialled map[string]string

type fakeLink struct {
	node string
	all  dialled
	down bool
}

func (l *fakeLink) Close()   { delete(l.all, l.node) }
func (l *fakeLink) Up() bool { return !l.down }

// fakeUser is what a set of links belongs to, and places its work.
type fakeUser struct {
	share    subset.Share
	required []string
	occupied map[string]bool
	retired  map[string]bool
	free     float64
}

func (u *fakeUser) Share() subset.Share              { return u.share }
func (u *fakeUser) Required() []string               { return u.required }
func (u *fakeUser) MayHaveRunsAt(node string) bool   { return u.occupied[node] }
func (u *fakeUser) SetRetired(node string, yes bool) { u.retired[node] = yes }
func (u *fakeUser) FreeShare([]string) float64       { return u.free }

func newFakeUser() *fakeUser {
	return &fakeUser{share: subset.FallbackShare("a"), occupied: make(map[string]bool), retired: make(map[string]bool)}
}

// newFakeLinks returns a set of so many links; zero: of all.
func newFakeLinks(size int, user linkUser, placer WorkPlacer) (*LinkSet, dialled) {
	all := dialled{}
	return NewLinkSet(size, user, placer, NewMetrics(), func(node string, reg Registration) AgentLink {
		all[node] = reg.LinkAddr
		return &fakeLink{node: node, all: all}
	}), all
}

func registered(node, addr string) store.Record {
	return store.Record{Key: node, Value: []byte(`{"links":"` + addr + `"}`)}
}

// An agent came back at another address while no links were kept. The set has
// learnt of it, and of one that was taken away.
func TestLinksGoWhereTheAgentsAreNow(t *testing.T) {
	is := is.New(t)
	user := newFakeUser()
	links, all := newFakeLinks(0, user, user)
	links.Apply(registered("b", "10.0.0.4:7"))
	links.Apply(registered("c", "10.0.0.3:7"))
	links.Open()
	links.Close()
	links.Apply(registered("b", "10.0.0.5:7"))
	links.Apply(store.Record{Key: "c"})
	links.Open()
	is.Equal(all, dialled{"b": "10.0.0.5:7"})
	links.Apply(registered("b", "10.0.0.6:7"))
	is.Equal(all, dialled{"b": "10.0.0.6:7"})
}

// registerFleet makes agents known, in five failure domains, with a label on each tenth.
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

// newLinkedFleet returns a set that has linked its part of 160 agents, and when it did.
func newLinkedFleet(size int, user *fakeUser) (*LinkSet, dialled, time.Duration) {
	links, all := newFakeLinks(size, user, user)
	links.Open()
	registerFleet(links, 160)
	links.Reconcile(time.Hour)
	return links, all, time.Hour
}

// With a link to each of 160 agents an entry spends its processor time on signs of life,
// and decides worse. It links 32, and as many of each failure domain.
func TestEntryLinksASubset(t *testing.T) {
	is := is.New(t)
	_, all, _ := newLinkedFleet(32, newFakeUser())
	is.Equal(len(all), 32)
}

// Half of the agents of a subset go dark. Others stand in for them, within bounds, and
// leave again when the dark ones are back, but not before their last run has ended: a link
// that ends cuts off what runs behind it.
func TestOthersStandInForDarkAgents(t *testing.T) {
	is := is.New(t)
	user := newFakeUser()
	links, all, now := newLinkedFleet(16, user)
	dark := slices.Sorted(maps.Keys(all))[:8]
	for _, node := range dark {
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
		if slices.Contains(dark, node) {
			links.links[node].AgentLink.(*fakeLink).down = false
		}
	}
	links.Reconcile(now + 1)
	standIns := 0
	for node, yes := range user.retired {
		if yes {
			is.True(!slices.Contains(dark, node))
			busy = node
			standIns++
		}
	}
	is.Equal(standIns, 8)
	user.occupied[busy] = true
	links.Reconcile(now + 1 + retireDelay)
	is.Equal(len(all), 17)
	delete(user.occupied, busy)
	links.Reconcile(now + 2 + retireDelay)
	is.Equal(len(all), 16)
}

// Guards against an entry that has a fifth less room than others because a failure domain is
// drained, and against runs that are cut off there: others stand in, and the links stay.
func TestOthersStandInForADrainedDomain(t *testing.T) {
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

// Guards against a need that is taken for served by agents that get nothing.
func TestNeedsCountNoDrainedAgents(t *testing.T) {
	is := is.New(t)
	links, all, now := newLinkedFleet(16, newFakeUser())
	links.SetDrained(drains.State{Position: 1, Domains: []string{"zone-0"}})
	spec := &job.Spec{Steps: []job.Step{{Count: 1, Label: "wide", Demand: job.Demand{CPUMillis: 1000}}}}
	links.RecordNeed(now, spec, &job.Policy{Service: "desk"})
	links.Reconcile(now)
	is.True(len(all) <= 2*16) // all that have the label are in zone-0, and none is linked in vain
	links.SetDrained(drains.State{Position: 2})
	is.True(links.RecordNeed(now+needTTL+1, spec, &job.Policy{Service: "desk"}))
}

// Guards against links of all agents, or a loop without end, when every domain is drained.
func TestAllDomainsDrainedLinksNoMore(t *testing.T) {
	is := is.New(t)
	links, all, now := newLinkedFleet(16, newFakeUser())
	links.SetDrained(drains.State{Position: 1, Domains: []string{"zone-0", "zone-1", "zone-2", "zone-3", "zone-4"}})
	links.Reconcile(now)
	is.Equal(len(all), 32)
}

// A queue asks for a label that a tenth of the agents have, and a job is wider than its
// subset. Refused for want of a worker they would never run, whatever stands idle.
func TestSubsetIsFilledUpForNeeds(t *testing.T) {
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

// A queue asks for a label that no backend server has. Its jobs are refused at once: there
// is no link to wait for.
func TestNothingIsLinkedForWhatNobodyOffers(t *testing.T) {
	is := is.New(t)
	links, all, now := newLinkedFleet(16, newFakeUser())
	spec := &job.Spec{Steps: []job.Step{{Count: 1, Label: "unheard of", Demand: job.Demand{CPUMillis: 1000}}}}
	is.True(!links.RecordNeed(now, spec, &job.Policy{Service: "desk"}))
	links.Reconcile(now)
	is.Equal(len(all), 16)
}

// A takeover has to reach an agent that is in no subset of the new owner: it may have runs
// of the shard.
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

	// Those that are required only get no work: counting the jobs of a queue asks every
	// owner, and made each entry's subset twice as large for half a minute.
	idle := 0
	for _, yes := range user.retired {
		if yes {
			idle++
		}
	}
	is.Equal(idle, 144)
}
