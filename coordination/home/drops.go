package home

import (
	"cmp"
	"slices"
	"sync"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// maxDrops bounds the jobs of one message, so that it stays far below what a link
// takes.
const maxDrops = 4096

// drops gathers what agents are to give up until the next tick, so that a wave of
// cancellations costs one message for each agent and tick, not one for each job.
type drops struct {
	mu sync.Mutex
	// waiting are the Drops by agent; guarded by mu.
	waiting map[state.NodeID][]message.Drop
}

// gather takes the Drops out of the actions. An Assign of a job of which a Drop
// waits for the same agent is sent after it: the other way round the agent would
// give up what it was just assigned.
func (d *drops) gather(acts []coordination.Action) []coordination.Action {
	if !slices.ContainsFunc(acts, concernsDrops) {
		return acts
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	out := acts[:0:0]
	for _, act := range acts {
		send, _ := act.(coordination.Send)
		switch m := send.Msg.(type) {
		case message.Drop:
			d.addLocked(send.To, m)
			continue
		case message.Assign:
			if slices.ContainsFunc(d.waiting[send.To], func(w message.Drop) bool { return w.Key == m.Key }) {
				out = append(out, d.takeLocked(send.To)...)
			}
		}
		out = append(out, act)
	}
	return out
}

func concernsDrops(act coordination.Action) bool {
	send, ok := act.(coordination.Send)
	if !ok {
		return false
	}
	switch send.Msg.(type) {
	case message.Drop, message.Assign:
		return true
	}
	return false
}

func (d *drops) addLocked(to state.NodeID, m message.Drop) {
	if d.waiting == nil {
		d.waiting = make(map[state.NodeID][]message.Drop)
	}
	d.waiting[to] = append(d.waiting[to], m)
}

func (d *drops) takeLocked(to state.NodeID) []coordination.Action {
	list := d.waiting[to]
	delete(d.waiting, to)
	var out []coordination.Action
	for part := range slices.Chunk(list, maxDrops) {
		var msg message.Message = message.Drops{Jobs: part}
		if len(part) == 1 {
			msg = part[0]
		}
		out = append(out, coordination.Send{To: to, Msg: msg})
	}
	return out
}

// flush sends everything that waits, in the order of the agents' ids.
func (d *drops) flush() []coordination.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) == 0 {
		return nil
	}
	var to []state.NodeID
	for id := range d.waiting {
		to = append(to, id)
	}
	slices.SortFunc(to, cmp.Compare[state.NodeID])
	var out []coordination.Action
	for _, id := range to {
		out = append(out, d.takeLocked(id)...)
	}
	return out
}
