package metrics

import (
	"github.com/shallotstep/shallotstep/coordination/gossip"
	"github.com/shallotstep/shallotstep/coordination/member"
)

// WatchGossip registers what a node knows of agents' loads and sends of them.
func (m *Metrics) WatchGossip(g *gossip.Gossip) {
	m.Watch("gossip", func() []Sample {
		s := g.Stats()
		return []Sample{
			Gauge("agents_known", "Agents with a fresh load.", s.Known),
			Gauge("neighbours", "Nodes that this one sends its load to.", s.Neighbours),
			Gauge("listeners", "Nodes outside the roster that get urgent news.", s.Listeners),
			Gauge("urgent", "Agents with urgent news still to pass on.", s.Urgent),
			Counter("messages_total", "Messages sent.", s.Messages),
			Counter("items_total", "Loads sent in messages.", s.Items),
		}
	})
}

// WatchMember registers a node's part in the roster.
func (m *Metrics) WatchMember(n *member.Machine) {
	m.Watch("member", func() []Sample {
		s := n.Stats()
		return []Sample{
			Gauge("members", "Members of the roster.", s.Members),
			Gauge("watched", "Members that this node watches.", s.Watched),
			Gauge("silent", "Watched members that are silent.", s.Silent),
			Bool("cut_off", "1 while this node hears too few members to judge any.", s.CutOff),
			Bool("joined", "1 once the own join was read back.", n.Joined()),
			Bool("evicted", "1 once others removed this incarnation.", n.Evicted()),
			Counter("joins_total", "Join records asked for.", s.Joins),
			Counter("leaves_total", "Leave records asked for.", s.Leaves),
			Counter("evictions_total", "Evict records asked for.", s.Evictions),
			Counter("snapshots_total", "Snapshot records asked for.", s.Snapshots),
			Counter("suspects_total", "Questions to a silent failure domain asked for.", s.Suspects),
			Counter("alives_total", "Signs of life of the own failure domain asked for.", s.Alives),
		}
	})
}
