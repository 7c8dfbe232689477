package agent

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
)

// dialledLinks holds the names of the agents to which a link set has links.
type dialledLinks map[string]bool

// upLink is a fake link that is always up.
type upLink struct {
	node string
	all  dialledLinks
}

func (l upLink) Close()   { delete(l.all, l.node) }
func (l upLink) Up() bool { return true }

// fakeLinks returns a link set that links all agents with fake links, and the links it has dialled.
func fakeLinks(a *Agent, placer core.WorkPlacer) (*core.LinkSet, dialledLinks) {
	all := make(dialledLinks)
	return core.NewLinkSet(0, a, placer, core.NewMetrics(), func(node string, _ core.Registration) core.AgentLink {
		all[node] = true
		return upLink{node: node, all: all}
	}), all
}

func registeredAgent(node, addr string) store.Record {
	return store.Record{Key: node, Value: []byte(`{"links":"` + addr + `"}`)}
}

// In a system of 59 processes in which every agent keeps links to all others, heartbeats take
// more processor time than the work, and the entries' jobs end late. Only 16 of the agents own a
// shard; the others must keep no links.
func TestAgentWithoutShardsKeepsNoLinks(t *testing.T) {
	is := is.New(t)
	a := New(&settings.Settings{Role: settings.RoleAgent, Name: "a", Store: settings.Store{Topics: 1, Partitions: 4}}, coretest.RejectingStore{}, core.DrainSource{}, nil)
	links, all := fakeLinks(a, a.fleet)
	a.links = links
	links.Apply(registeredAgent("b", "10.0.0.2:7"))
	is.Equal(len(all), 0)

	links.Open() // as the agent does when it gets a shard
	a.shards[1] = &shardRunner{ShardDriver: core.NewShardDriver(owner.New(0, 1, 1, owner.Bounds{}, a.fleet, nil, nil, nil), links, a.metrics)}
	links.Apply(registeredAgent("c", "10.0.0.3:7"))
	is.Equal(slices.Sorted(maps.Keys(all)), []string{"b", "c"})

	now := time.Hour
	a.manageLinks(now)
	delete(a.shards, 1)
	a.manageLinks(now + idleLinkTimeout) // a rebalance may still return the shard
	is.Equal(len(all), 2)
	a.manageLinks(now + idleLinkTimeout + 1)
	is.Equal(len(all), 0)
}
