package route

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// agentTry is a repeatable task at an agent.
type agentTry struct {
	key           state.JobKey
	end           time.Time
	refused, told bool
}

type heldJob struct {
	end    time.Time
	owed   map[message.Attempt]bool
	answer *message.Answer
}

// requestMark begins the ids of repeatable requests, one for each ticket.
const requestMark = "r"

// try returns what the agent knows of a try, and whether it is new to it.
func (n *node) try(key state.JobKey) (t *agentTry, fresh bool) {
	for _, t := range n.tries {
		if t.key == key {
			return t, false
		}
	}
	t = &agentTry{key: key}
	n.tries = append(n.tries, t)
	return t, true
}

func (w *world) onAssign(n *node, m message.Assign) {
	t, fresh := n.try(m.Key)
	if fresh && w.one(3) {
		t.refused = true
	} else if fresh {
		t.end = w.now.Add(time.Duration(1+w.rng.IntN(300)) * millis)
		name := string(m.Tasks[0].Payload)
		w.ran[name] = true
		if w.refused[name] {
			w.fail("request %s was started after not run was said of it", name)
		}
		return
	}
	w.report(n, t)
}

func (w *world) onTaskQuery(n *node, m message.TaskQuery) {
	t, fresh := n.try(m.Key)
	t.refused = t.refused || fresh
	w.report(n, t)
}

func (w *world) report(n *node, t *agentTry) {
	m := message.Report{Key: t.key}
	switch {
	case t.refused:
		m.Refused, m.Reason = []int{0}, state.ReasonBusy
	case t.end.After(w.now):
		m.Running = []int{0}
	default:
		m.Results = []state.TaskResult{{}}
	}
	w.post(n.id, entryID, m)
}
