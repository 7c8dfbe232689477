package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// full reports that an agent of a speed has no room, and for how long.
func (f *speedFleet) full(agent int, speed float64, turnover time.Duration) {
	l := speedLoad(speed, 0)
	l.Turnover = turnover
	f.report(agent, l)
}

// TestTasksDoNotWaitForAFastServerThatIsSlowOrLost guards against tasks that are held beside a free
// server for a faster one that doesn't answer, is avoided, or is slowed down.
func TestTasksDoNotWaitForAFastServerThatIsSlowOrLost(t *testing.T) {
	for name, fault := range map[string]func(*speedFleet, *PlacementRequest){
		"old load": func(f *speedFleet, n *PlacementRequest) {
			f.now += time.Second
			n.Now = f.now
			f.report(0, speedLoad(.6, 16000))
			f.full(1, 1, time.Second)
			f.full(2, 1, time.Second)
		},
		"avoided": func(f *speedFleet, n *PlacementRequest) { n.Avoid = []string{"agent-3"} },
		"slowed down": func(f *speedFleet, _ *PlacementRequest) {
			l := speedLoad(1.6, 0)
			l.Slowdown, l.Turnover = 4, time.Second
			f.report(3, l)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newSpeedFleet(.6, 1, 1, 1.6)
			f.full(1, 1, time.Second)
			f.full(2, 1, time.Second)
			f.full(3, 1.6, 100*time.Millisecond)
			n := f.request(1200*time.Millisecond, 1100*time.Millisecond)
			fault(f, &n)
			node, ok := f.Place(n, anyAgent)
			is.True(ok)
			is.Equal(node, "agent-0")
		})
	}
}

// TestTasksThatAreLateEverywhereTakeTheFreeServer guards against tasks that wait, until they are
// given up, for a full server where they would end first, beside a free one.
func TestTasksThatAreLateEverywhereTakeTheFreeServer(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(.6, 1, 1, 1.6)
	for i, speed := range []float64{1, 1, 1.6} {
		f.full(i+1, speed, 300*time.Millisecond)
	}
	node, ok := f.Place(f.request(1200*time.Millisecond, 700*time.Millisecond), anyAgent)
	is.True(ok)
	is.Equal(node, "agent-0")
}

// TestEqualEndsAreDrawn guards against entries that all send to the first of the servers on which a
// task without a margin ends at the same time.
func TestEqualEndsAreDrawn(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(.6, 1, 1, 1)
	placed := make(map[string]int)
	for range 90 {
		p, ok := f.chooseLocked(f.request(200*time.Millisecond, 210*time.Millisecond), anyAgent)
		is.True(ok)
		is.Equal(p.tier, noMarginTier)
		placed[p.node]++
	}
	for _, node := range f.nodes[1:] {
		is.True(placed[node] >= 10)
	}
}

// TestAgentThatSeesNoOrdersIsChosenLast guards against jobs on a link that passes frames one way only:
// the agent's loads arrive, the orders to it are lost, and each waits until the link is given up, for
// longer than its client does.
func TestAgentThatSeesNoOrdersIsChosenLast(t *testing.T) {
	for name, speeds := range map[string][]float64{"equal speeds": {1, 1, 1}, "unequal speeds": {.6, 1, 1.6}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newSpeedFleet(speeds...)
			seen := make(map[string]int64)
			var firstLost time.Duration
			for range 200 {
				f.now += 5 * time.Millisecond
				n := f.request(10*time.Millisecond, time.Second)
				n.Demand.CPUMillis = 50
				node, ok := f.Place(n, anyAgent)
				is.True(ok)
				switch {
				case node != "agent-2":
					seen[node]++
				case firstLost == 0:
					firstLost = f.now
				case f.now-firstLost > f.params.StaleLoadAge:
					t.Fatalf("an order was sent there %v after the first lost one", f.now-firstLost)
				}
				for i, speed := range speeds {
					l := speedLoad(speed, 4000)
					if l.OrdersSeen = seen[f.nodes[i]]; i == 2 {
						l.Free.CPUMillis = 16000
					}
					f.Update(f.now, f.nodes[i], l)
				}
			}
			is.True(firstLost > 0)
		})
	}
}
