package entry

import (
	"sync"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
)

// tickets are the requests that wait for an answer of the machine.
type tickets struct {
	mu sync.Mutex
	// The rest is guarded by mu.
	last    uint64
	answers map[uint64]chan message.Answer
	applies map[uint64]chan coordination.Applied
}

func (t *tickets) init() {
	t.answers = make(map[uint64]chan message.Answer)
	t.applies = make(map[uint64]chan coordination.Applied)
}

// open returns a ticket for one answer. The channel has room for it, so that a
// delivery never waits for a caller that has gone.
func (t *tickets) open() (uint64, <-chan message.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	c := make(chan message.Answer, 1)
	t.answers[t.last] = c
	return t.last, c
}

func (t *tickets) openApply() (uint64, <-chan coordination.Applied) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	c := make(chan coordination.Applied, 1)
	t.applies[t.last] = c
	return t.last, c
}

func (t *tickets) drop(ticket uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.answers, ticket)
	delete(t.applies, ticket)
}

func (t *tickets) deliver(ticket uint64, a message.Answer) {
	t.mu.Lock()
	c := t.answers[ticket]
	delete(t.answers, ticket)
	t.mu.Unlock()
	if c != nil {
		c <- a
	}
}

func (t *tickets) applied(a coordination.Applied) {
	t.mu.Lock()
	c := t.applies[a.Ticket]
	delete(t.applies, a.Ticket)
	t.mu.Unlock()
	if c != nil {
		c <- a
	}
}

// idle reports whether no request waits.
func (t *tickets) idle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.answers) == 0 && len(t.applies) == 0
}
