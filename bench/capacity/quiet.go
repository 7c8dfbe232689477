package main

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/gossip"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

const (
	quietSpan = 60 * time.Second
	// newsIn messages of newsItems loads are what an agent hears in a second:
	// each agent sends to so many of its watchers.
	newsIn    = gossip.DefaultFanout
	newsItems = gossip.DefaultMaxItems
	pollEvery = 20 * time.Second
)

// measureQuiet runs the machines of a daemon that has no work, with the news of
// loads that come in at the target size. What goes out is bench/gossip's to
// measure; links and long polls are not in it.
func measureQuiet(t *table) {
	agent := fullAgent()
	t.addCost("agent, a second at 40 ticks", quiet(agent, coordination.IdleTickInterval))
	t.addCost("agent, a second at 200 ticks", quiet(agent, coordination.TickInterval))
	entry := newEntry()
	entry.join(members())
	entry.declareAll()
	entry.hear(members(), 1)
	t.addCost("entry, a second at 40 ticks", quiet(entry, coordination.IdleTickInterval))
}

// quiet returns the cost of one second.
func quiet(d *daemon, tick time.Duration) cost {
	peers := d.regionMembers()
	seq := uint64(d.now.Unix())
	seconds := int(quietSpan / time.Second)
	return measure(seconds, func(i int) {
		d.renew()
		d.newsOfASecond(peers, i, seq)
		d.pass(time.Second, tick, func(coordination.Action) {})
		if i%int(pollEvery/time.Second) == 0 {
			d.caughtUp()
		}
	})
}

func (d *daemon) newsOfASecond(peers []state.Member, second int, seq uint64) {
	if d.agent == nil {
		return // an entry only pulls pages, one in ten seconds
	}
	for i := range newsIn {
		var m message.LoadNews
		for j := range newsItems {
			peer := peers[(second*newsIn*newsItems+i*newsItems+j)%len(peers)]
			m.Loads = append(m.Loads, message.LoadItem{Load: loadOf(peer, seq+uint64(second)), Beat: 1})
		}
		d.Handle(d.now, m.Loads[0].Load.ID, m)
	}
}

// renew lets the agent's backend server announce itself.
func (d *daemon) renew() {
	if d.agent == nil {
		return
	}
	d.agent.Announce(d.now, state.Backend{
		ID: "backend-1", URL: "http://127.0.0.1:1", Services: servicesOf(d.self), Slots: slots,
		Connections: 64, Cores: 16, MemoryMB: 65536, Accelerators: 2, TTL: announcementTTL,
	})
}
