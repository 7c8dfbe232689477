package link

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
)

// item is a message that was accepted and not yet written.
type item struct {
	envelope *nodepb.Envelope
	size     int
	// sent counts messages of this kind.
	sent prometheus.Counter
}

// queue holds items in order. The peer's lock guards it.
type queue struct {
	items []item
	bytes int
}

func (q *queue) push(it item) {
	q.items = append(q.items, it)
	q.bytes += it.size
}

// take removes the items of the next frame: at least one if there is one, and
// not more than maxBatchBytes on top of that.
func (q *queue) take() []item {
	n, size := 0, 0
	for n < len(q.items) && (n == 0 || size+q.items[n].size <= maxBatchBytes) {
		size += q.items[n].size
		n++
	}
	batch := q.items[:n:n]
	q.items = q.items[n:]
	if len(q.items) == 0 {
		q.items = nil
	}
	q.bytes -= size
	return batch
}

func (q *queue) takeAll() queue {
	all := *q
	*q = queue{}
	return all
}
