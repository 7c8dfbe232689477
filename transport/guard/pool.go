// Package guard keeps clients from using up the descriptors and the memory of a process. Each listener has
// a number of connections, and all of them share a budget for the memory of requests. When either is used
// up, connections are ended that don't finish what they send or read, longest first, so that other clients
// are served. Connections whose request is being served are never ended for lack of room.
package guard

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/transport/metrics"
)

const (
	// ConnBytes is the memory that a connection takes while its request stays within connAllowance:
	// buffers, stacks and the request.
	ConnBytes = 32 << 10
	// connAllowance is the part of ConnBytes for the contents of a request.
	connAllowance = 16 << 10
	// sweepInterval is the resolution of all timeouts of a connection.
	sweepInterval = 500 * time.Millisecond
	// sweepsPerSummary is the number of sweeps between two log lines of a listener.
	sweepsPerSummary = 20
)

// Pool is the budget that the listeners of a process share.
type Pool struct {
	// memory is the budget for requests, in bytes.
	memory int64
	// sweeps counts the sweeps. Connections measure their time by it, so that no time passes for them
	// while the process is suspended.
	sweeps atomic.Int64
	// expansions bounds the large requests that are decoded at a time.
	expansions *semaphore.Weighted

	mu sync.Mutex
	// All fields below are guarded by mu.

	used int64
	// returning is the part of used that connections which have to end still hold.
	returning int64
	listeners []*Listener
	// returned is signalled when memory was returned.
	returned sync.Cond
}

// NewPool returns a pool with a budget in bytes for the memory of requests beyond the allowance of each
// connection.
func NewPool(memory int64) *Pool {
	p := &Pool{memory: memory, expansions: semaphore.NewWeighted(int64(max(1, runtime.GOMAXPROCS(0)/2)))}
	p.returned.L = &p.mu
	return p
}

// Run ends connections whose time is over, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		p.sweep(now.Sub(last) > 2*sweepInterval)
		last = now
	}
}

// sweep advances the time of all connections. Unless it is late, it also ends those whose time is over:
// after a late sweep, requests that arrived while the process was suspended have to be read first.
func (p *Pool) sweep(late bool) {
	n := p.sweeps.Add(1)
	for _, l := range p.allListeners() {
		if !late {
			l.endOverdue(n)
		}
		if n%sweepsPerSummary == 0 {
			l.logEnded()
		}
	}
}

func (p *Pool) allListeners() []*Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listeners
}

// acquire charges n bytes to a connection. If the budget is used up, it ends connections that are still
// sending their requests, those first that have held most memory for longest, and waits until they have
// returned it. It returns false if c has to end, or if no other connection can.
func (p *Pool) acquire(c *conn, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !c.ended {
		if p.used+n <= p.limitFor(c.paid+n) {
			p.used += n
			c.paid += n
			return true
		}
		if p.returning == 0 {
			victim := p.mostHeldLocked()
			if victim == nil {
				return false
			}
			p.endLocked(victim)
			continue
		}
		p.returned.Wait()
	}
	return false
}

// limitFor returns how much may be in use with a request that holds n bytes. Large requests leave a quarter
// of the budget to small ones: requests that are being served can't be ended for others.
func (p *Pool) limitFor(n int64) int64 {
	if n > smallBytes {
		return p.memory - p.memory/4
	}
	return p.memory
}

// endLocked ends a connection for lack of memory. It returns the memory once its request has let go of it.
func (p *Pool) endLocked(c *conn) {
	p.dropLocked(c)
	go c.end(metrics.EndedNoMemory)
}

// mostHeldLocked returns the connection that has held most memory for longest among those that are still
// sending their requests or don't read their answers, or nil if there is none.
func (p *Pool) mostHeldLocked() *conn {
	var most *conn
	var worst int64
	now := p.sweeps.Load()
	for _, l := range p.listeners {
		for c := range l.conns {
			if c.paid == 0 || c.ended {
				continue
			}
			if age, endable := c.age(now); endable && c.paid*(age+1) > worst {
				most, worst = c, c.paid*(age+1)
			}
		}
	}
	return most
}

// dropLocked takes note that a connection gets no more memory, and that it will return what it has.
func (p *Pool) dropLocked(c *conn) {
	if c.ended {
		return
	}
	c.ended = true
	p.returning += c.paid
	p.returned.Broadcast()
}

// release returns what a connection was charged.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refundLocked(c, c.paid)
}

// refund returns n bytes of what a connection was charged.
func (p *Pool) refund(c *conn, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refundLocked(c, min(n, c.paid))
}

func (p *Pool) refundLocked(c *conn, n int64) {
	if n == 0 {
		return
	}
	p.used -= n
	c.paid -= n
	if c.ended {
		p.returning -= min(n, p.returning)
	}
	p.returned.Broadcast()
}

// logEnded logs how many connections were ended since the last call, if there were any.
func (l *Listener) logEnded() {
	if n := l.endedCount.Swap(0); n > 0 {
		klog.InfoS("Ended connections of clients", "listener", l.opts.Name, "count", n, "over", sweepsPerSummary*sweepInterval)
	}
}
