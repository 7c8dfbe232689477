package runner

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/protocol/api"
)

// silentLimit is how long the log may be silent before it counts as out of
// reach: a long poll that finds nothing is answered well within it.
const silentLimit = 30 * time.Second

// positions remembers how far each stream has been read and when.
type positions struct {
	mu sync.Mutex
	// next and at are guarded by mu.
	next map[coordination.Stream]int64
	at   map[coordination.Stream]time.Time
}

func (p *positions) note(stream coordination.Stream, next int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil {
		p.next = make(map[coordination.Stream]int64)
		p.at = make(map[coordination.Stream]time.Time)
	}
	p.next[stream] = next
	p.at[stream] = now
}

// LogStatus tells how far this node has read the platform's log.
func (r *Runner) LogStatus(now time.Time) api.LogStatus {
	p := &r.positions
	p.mu.Lock()
	defer p.mu.Unlock()
	doc := api.LogStatus{Reachable: true}
	for _, stream := range []coordination.Stream{coordination.StreamRoster, coordination.StreamDeclarations} {
		at, ok := p.at[stream]
		silent := now.Sub(at)
		if !ok || silent > silentLimit {
			doc.Reachable = false
		}
		s := api.StreamStatus{Stream: string(stream), Next: p.next[stream]}
		if ok {
			s.SilentMS = silent.Milliseconds()
		}
		doc.Streams = append(doc.Streams, s)
	}
	return doc
}
