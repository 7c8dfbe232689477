package gossip

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
)

// Stats is what a Gossip knows and has sent.
type Stats struct {
	// Known is how many agents have a fresh load, this one among them.
	Known      int
	Neighbours int
	Listeners  int
	// Urgent is how many agents have urgent news still to pass on.
	Urgent int
	// Messages and Items count what was sent.
	Messages int
	Items    int
}

// Stats returns the present numbers.
func (g *Gossip) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{
		Known:      len(g.view.All(time.Time{})),
		Neighbours: len(g.rounds.neighbours),
		Listeners:  len(g.listeners),
		Urgent:     len(g.hot),
		Messages:   g.messages,
		Items:      g.items,
	}
}

// countLocked counts what is about to be sent.
func (g *Gossip) countLocked(actions []coordination.Action) []coordination.Action {
	for _, a := range actions {
		news, ok := a.(coordination.Send).Msg.(message.LoadNews)
		if ok {
			g.messages++
			g.items += len(news.Loads)
		}
	}
	return actions
}
