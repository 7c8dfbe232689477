package main

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/gossip"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// way is one way of spreading loads.
type way struct {
	name string
	// everywhere says that nodes of all regions hear of an agent.
	everywhere bool
	build      func(members []state.Member, self int, seed uint64) spreader
}

var ways = []way{
	{"push", true, simpleWay(options{fanout: 4, items: 12, interval: time.Second})},
	{"push region", false, simpleWay(options{fanout: 4, items: 12, interval: time.Second, region: true})},
	{"push-pull all", true, simpleWay(options{fanout: 1, interval: time.Second, pull: true})},
	{"flood+sync", false, simpleWay(options{fanout: 1, interval: 10 * time.Second, pull: true, region: true, flood: true})},
	{"relays", false, relays},
	{"chosen", false, chosen(gossip.Options{})},
	{"chosen, 3 to 4", false, chosen(gossip.Options{MaxItems: 3})},
	{"chosen, 12 to 4", false, chosen(gossip.Options{MaxItems: 12})},
	{"chosen, 16 to 2", false, chosen(gossip.Options{Fanout: 2, MaxItems: 16})},
}

// chosen builds the nodes that the daemons run.
func chosen(o gossip.Options) func([]state.Member, int, uint64) spreader {
	return func(members []state.Member, self int, seed uint64) spreader {
		o := o
		o.Self = members[self]
		o.Peers = func() []state.Member { return members }
		o.Seed = seed*1_000_003 + uint64(self)
		o.Agent = true
		o.Position = position
		return gossip.New(o)
	}
}

// position is about as many bytes as what an agent of the target size says of the
// declarations that it has read: the offset after some months, half a minute ago.
func position(time.Time) message.ReadPosition {
	return message.ReadPosition{Next: 500_000, Age: 30 * time.Second}
}
