package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// slowBy is how much longer tasks run at a slow agent.
const slowBy = 10

// oneByOne runs n jobs of one task, one after another. Tasks take 100 ms, or
// longer at slow agents. It returns how many went to slow agents.
func (b *bench) oneByOne(prefix string, n int, slow map[state.NodeID]bool) int {
	count := 0
	for i := range n {
		b.submit(fmt.Sprint(prefix, i), 1, 0, "1")
		to, assigns := take[message.Assign](b)
		ran := 100 * time.Millisecond
		if slow[to[0]] {
			ran *= slowBy
			count++
		}
		b.pass(ran)
		load := b.h.shard("s").pools["s"].agents[to[0]].load
		load.Seq++
		b.report(to[0], message.Report{Key: assigns[0].Key, Load: load, Results: []state.TaskResult{{Ran: ran}}})
	}
	return count
}

// One of six workers straggles, and with little to do it looks as free as the
// others: its agent would get a sixth of the tasks, and their callers would wait
// ten times as long. The results of a few tasks tell it from the rest, and it is
// tried again later, because workers recover.
func TestStragglerIsAvoidedByItsHistory(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(8, 8, 8, 8, 8, 8), nil)
	slow := map[state.NodeID]bool{"a3": true}
	learning := b.oneByOne("learn", 100, slow)
	is.True(learning > 0 && learning <= 10)
	is.Equal(b.oneByOne("known", 100, slow), 0)
	b.pass(historyKept)
	again := b.oneByOne("again", 100, slow)
	is.True(again > 0 && again <= 2)
	b.pass(historyKept)
	recovered := b.oneByOne("recovered", 100, nil)
	is.Equal(recovered, 0)
	is.True(!b.h.shard("s").pools["s"].agents["a3"].history.straggling(b.now))
}

// A third of the workers are slow, which may as well be two kinds of tasks. Leaving
// out a third of the fleet would do more harm than slow tasks do.
func TestManyStragglersAreNotAvoided(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(8, 8, 8, 8, 8, 8), nil)
	slow := map[state.NodeID]bool{"a0": true, "a1": true}
	b.oneByOne("learn", 100, slow)
	b.submit("large", 48, 0, "1")
	to, _ := take[message.Assign](b)
	used := make(map[state.NodeID]bool)
	for _, id := range to {
		used[id] = true
	}
	is.Equal(len(used), 6)
}
