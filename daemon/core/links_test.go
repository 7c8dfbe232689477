package core

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
)

// dialled stands for the links of a set, by agent and address.
type dialled map[string]string

type fakeLink struct {
	node string
	all  dialled
}

func (l *fakeLink) Close() { delete(l.all, l.node) }

func newFakeLinks() (*linkSet, dialled) {
	all := dialled{}
	return newLinkSet(func(node string, reg registration) closer {
		all[node] = reg.Links
		return &fakeLink{node: node, all: all}
	}), all
}

func registered(node, addr string) store.Record {
	return store.Record{Key: node, Value: []byte(`{"links":"` + addr + `"}`)}
}

// A system of 59 processes whose agents each keep a link to each other spends more
// on signs of life than on work, and its entries' jobs come late: on a site of that
// size all of a busy day's did. Only 16 agents own a shard; the others link nobody.
func TestAgentWithoutShardsLinksNobody(t *testing.T) {
	is := is.New(t)
	a := NewAgent(&settings.Settings{Role: settings.RoleAgent, Name: "a", Store: settings.Store{Topics: 1, Partitions: 4}}, noStore{}, nil)
	links, all := newFakeLinks()
	a.links = links
	links.apply(registered("b", "10.0.0.2:7"))
	is.Equal(len(all), 0)

	links.open() // as it does when it gets a shard
	a.shards[1] = &shardRunner{}
	links.apply(registered("c", "10.0.0.3:7"))
	is.Equal(slices.Sorted(maps.Keys(all)), []string{"b", "c"})

	now := time.Hour
	a.keepLinks(now)
	delete(a.shards, 1)
	a.keepLinks(now + linkLinger) // the shares may be dealt anew
	is.Equal(len(all), 2)
	a.keepLinks(now + linkLinger + 1)
	is.Equal(len(all), 0)
}

// An agent came back at another address while no links were kept. The set has
// learnt of it, and of one that was taken away.
func TestLinksGoWhereTheAgentsAreNow(t *testing.T) {
	is := is.New(t)
	links, all := newFakeLinks()
	links.apply(registered("b", "10.0.0.4:7"))
	links.apply(registered("c", "10.0.0.3:7"))
	links.open()
	links.close()
	links.apply(registered("b", "10.0.0.5:7"))
	links.apply(store.Record{Key: "c"})
	links.open()
	is.Equal(all, dialled{"b": "10.0.0.5:7"})
	links.apply(registered("b", "10.0.0.6:7"))
	is.Equal(all, dialled{"b": "10.0.0.6:7"})
}
