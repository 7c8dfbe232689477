package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/examples"
	"github.com/shallotstep/shallotstep/state"
)

// countDrops is an agent that notes when others tell it to give up tasks.
type countDrops struct {
	*Agent
	at map[string]int // by sender and moment of arrival
}

func (c *countDrops) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	switch msg.(type) {
	case message.Drop, message.Drops:
		c.at[fmt.Sprintf("%s %v", from, now.UnixNano())]++
	}
	return c.Agent.Handle(now, from, msg)
}

// raiseQuota lets more tasks in than the example's operator may have.
func raiseQuota(w *world, e *host) {
	entry := e.node.(*Entry)
	base, _ := entry.Declarations().Operator(examples.HaneulOperator)
	raised := strings.NewReplacer(`"tasks_in_flight": 2000`, `"tasks_in_flight": 100000`, `"tasks_per_second": 400`, `"tasks_per_second": 100000`).Replace(string(examples.HaneulDeclaration))
	w.execute(e, entry.Apply(w.now, 1<<41, examples.HaneulOperator, base.Version, []byte(raised)))
	w.run(2 * time.Second)
}

// 3,000 jobs run or wait when a wave cancels all of them at once. An agent hears
// at most one message from each home in a tick. No task starts after the caller
// was told that its job is cancelled, and the answer says how many were started.
func TestWaveOfCancellations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, agents := settledWith(t, 71, 400)
	const jobs = 3000
	raiseQuota(w, entries[0])
	w.work = 150
	w.lateMax = 100 * time.Millisecond // what was assigned is still on its way
	drops := make(map[state.NodeID]*countDrops)
	for _, a := range agents {
		drops[a.id] = &countDrops{a.agent, make(map[string]int)}
		a.node = drops[a.id]
	}
	for i := range jobs {
		w.submit(entries[i%2], fmt.Sprintf("job-%d", i), 1+i%3, time.Hour)
		if i%100 == 99 {
			w.run(10 * time.Millisecond)
		}
	}
	open := 0
	cancels := make(map[uint64]*ticket)
	for id := uint64(1); id <= jobs; id++ {
		if tk := w.tickets[id]; tk.answer == nil {
			open++
			cancel := 1<<30 + id
			cancels[cancel] = &ticket{job: tk.job, begun: w.now, entry: tk.entry}
			w.tickets[cancel] = cancels[cancel]
			w.execute(tk.entry, tk.entry.node.(*Entry).Cancel(w.now, cancel, tk.job.Key))
		}
	}
	w.onDeliver = func(tk *ticket) {
		if tk.answer.Reason == state.ReasonCancelled && tk.answer.Outcome != state.Unknown {
			is.Equal(tk.answer.Stats.Started, w.started(tk.job.Key)) // what ran so far
		}
	}
	w.run(10 * time.Second)
	confirmed := 0
	for _, tk := range cancels {
		is.True(tk.answer != nil)
		if tk.answer.Reason == state.ReasonCancelled && tk.answer.Outcome != state.Unknown {
			confirmed++
			is.Equal(tk.answer.Stats.Started, w.started(tk.job.Key)) // none since
		}
	}
	messages, most := 0, 0
	for _, d := range drops {
		for _, n := range d.at {
			messages += n
			most = max(most, n)
		}
	}
	t.Logf("%d jobs open, %d confirmed as cancelled, %d messages to give up tasks; told %v", open, confirmed, messages, w.outcomes())
	is.True(confirmed > jobs/2)
	is.Equal(most, 1)
	is.True(messages > 0)
}
