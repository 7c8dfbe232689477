package metrics

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/gossip"
	"github.com/shallotstep/shallotstep/coordination/member"
	"github.com/shallotstep/shallotstep/state"
)

// An alert on the growth of a reason's counter must see its first count, so
// every reason is there at zero; and words from peers must add no series.
func TestReasonsAreThereFromTheStart(t *testing.T) {
	is := is.New(t)
	m := New()
	reasons := len(state.Reasons())
	is.True(reasons > 0)
	is.Equal(testutil.CollectAndCount(m.Refusals), reasons)
	m.Refused(state.ReasonQuota)
	m.Refused("made up")
	m.Refused("made up too")
	is.Equal(testutil.ToFloat64(m.Refusals.WithLabelValues(string(state.ReasonQuota))), 1.0)
	is.Equal(testutil.ToFloat64(m.Refusals.WithLabelValues(string(state.ReasonUndocumented))), 2.0)
	is.Equal(testutil.CollectAndCount(m.Refusals), reasons)
}

func TestMachinesFeedTheRegistry(t *testing.T) {
	is := is.New(t)
	m := New()
	self := state.Member{ID: "a@1", Region: "r"}
	g := gossip.New(gossip.Options{Self: self, Agent: true, Peers: func() []state.Member { return nil }})
	m.WatchGossip(g)
	m.WatchMember(member.New(member.Options{Self: self}))
	g.SetOwn(time.Unix(1, 0), state.AgentLoad{Slots: 1})
	problems, err := testutil.GatherAndLint(m.Registry)
	is.NoErr(err)
	is.Equal(len(problems), 0)
	families, err := m.Registry.Gather()
	is.NoErr(err)
	found := false
	for _, f := range families {
		if f.GetName() == "shallotstep_gossip_agents_known" {
			found = true
			is.Equal(f.GetMetric()[0].GetGauge().GetValue(), 1.0)
		}
	}
	is.True(found)
}

func TestVerbosityIsSet(t *testing.T) {
	is := is.New(t)
	is.NoErr(SetupLog(3))
	is.True(klog.V(3).Enabled())
	is.True(!klog.V(4).Enabled())
	is.NoErr(SetupLog(0))
}
