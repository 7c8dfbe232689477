package core

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/shares"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
)

func newReporter(p owner.Params) (*DemandReporter, *owner.Fleet, map[string]*corepb.ToAgent) {
	f := owner.NewFleet(1, p, 1)
	f.Linked("a")
	f.Update(time.Second, "a", owner.AgentLoad{Service: "desk", Capacity: job.Demand{CPUMillis: 16000}, Accepts: true, Placers: 2})
	frames := make(map[string]*corepb.ToAgent)
	r := &DemandReporter{fleet: f, sent: make(map[string]sentDemand), send: func(node string, fill func(*corepb.ToAgent)) {
		frames[node] = &corepb.ToAgent{}
		fill(frames[node])
	}}
	return r, f, frames
}

func ask(f *owner.Fleet, now time.Duration, work time.Duration) {
	full := []shares.Agent{{Node: "a", Cores: 16, Placers: 2}}
	f.Shares().Ask(now, shares.Job{Service: "desk", Queue: "q", Work: work}, func(string) []shares.Agent { return full })
}

// Agents that aren't told in time forget what this process asks for, and the others take its share;
// agents that are told too often spend their links on it.
func TestDemandIsSentWhenItChangesOrIsDue(t *testing.T) {
	is := is.New(t)
	p := owner.DefaultParams()
	p.Shares = &shares.Params{Floor: 0.5, Domain: "north"}
	r, f, frames := newReporter(p)
	now := time.Hour
	ask(f, now, time.Second)
	r.Tick(now)
	rows := wire.DemandFromWire(frames["a"].GetDemand())
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Queue, "q")
	is.Equal(rows[0].Domain, "north")
	clear(frames)
	r.Tick(now + 10*time.Millisecond)
	is.Equal(len(frames), 0) // nothing new
	ask(f, now+20*time.Millisecond, 2*time.Second)
	r.Tick(now + 20*time.Millisecond)
	is.Equal(len(frames), 1) // it has trebled
	clear(frames)
	r.Tick(now + 20*time.Millisecond + DemandInterval)
	is.Equal(len(frames), 1) // due again
}

// An entry has many links, and changes within the noise of its own rates would go over all of them.
func TestSmallChangesOfDemandWaitUntilDue(t *testing.T) {
	is := is.New(t)
	p := owner.DefaultParams()
	p.Shares = &shares.Params{Floor: 0.5, Domain: "north"}
	r, f, frames := newReporter(p)
	now := time.Hour
	ask(f, now, time.Second)
	r.Tick(now)
	clear(frames)
	ask(f, now, 200*time.Millisecond) // a sixth of the total
	r.Tick(now + time.Millisecond)
	is.Equal(len(frames), 0)
	r.Tick(now + DemandInterval)
	is.Equal(len(frames), 1)
}

// With the switch off nothing is sent, and what others send has no effect.
func TestWithoutSharesNoDemandIsSent(t *testing.T) {
	is := is.New(t)
	r, f, frames := newReporter(owner.DefaultParams())
	r.Tick(time.Hour)
	r.Hear(time.Hour, "a", wire.DemandToWire([]shares.Demand{{Queue: "q", Queues: 1, Asked: 1}}))
	is.Equal(len(frames), 0)
	is.True(f.Shares() == nil)
}

// A field that is lost on the way would make a queue count with the wrong weight or domain.
func TestDemandSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	rows := []shares.Demand{{Queue: "q", Domain: "d", Priority: 3, Queues: 1, Asked: 1.5}, {Priority: 9, Queues: 40, Asked: 2}}
	is.Equal(wire.DemandFromWire(wire.DemandToWire(rows)), rows)
	bad := wire.DemandFromWire(wire.DemandToWire([]shares.Demand{{Queue: "q", Queues: 1, Asked: math.NaN()}}))
	is.True(!bad[0].Valid())
}

// A thousand queues must not become a thousand series.
func TestShareCountersAreBounded(t *testing.T) {
	is := is.New(t)
	var stats []shares.QueueStats
	for i := range 1000 {
		stats = append(stats, shares.QueueStats{Queue: "q", Asked: int64(i), Refused: 1})
	}
	got := boundQueues(stats)
	is.Equal(len(got), maxShareQueues+1)
	is.Equal(got[0].Asked, int64(999))
	is.Equal(got[maxShareQueues].Queue, otherQueues)
	is.Equal(got[maxShareQueues].Refused, int64(1000-maxShareQueues))
}
