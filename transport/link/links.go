package link

import (
	"context"
	"fmt"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire"
	"github.com/shallotstep/shallotstep/state"
)

const (
	shardCount = 16
	// quietPoll is how often Close looks whether all links have ended.
	quietPoll = 2 * time.Millisecond
)

// ErrUnflushed says that Close gave up on messages that were still queued.
var ErrUnflushed = errors.New("links closed before everything was flushed")

// Links holds the links of one node. It is safe for concurrent use.
type Links struct {
	opt     Options
	metrics *metrics
	server  *grpc.Server
	shards  [shardCount]shard
	// queued counts the bytes that wait for all peers.
	queued atomic.Int64
	// generation numbers the peers' generations.
	generation atomic.Uint64
	// closed refuses new messages and new incoming links.
	closed atomic.Bool
	// ctx ends when everything has to end at once.
	ctx    context.Context
	cancel context.CancelFunc

	life sync.RWMutex
	// stopped refuses new goroutines. Guarded by life.
	stopped bool
	wg      conc.WaitGroup
}

type shard struct {
	mu sync.RWMutex
	// peers is guarded by mu.
	peers map[state.NodeID]*peer
}

// New starts the links of a node and serves its listener. Handler and Up may be
// called before New returns.
func New(opt Options) (*Links, error) {
	opt.setDefaults()
	if err := opt.check(); err != nil {
		return nil, errors.Wrap(err, "links")
	}
	m, err := newMetrics(opt.Registry)
	if err != nil {
		return nil, err
	}
	l := &Links{opt: opt, metrics: m}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for i := range l.shards {
		l.shards[i].peers = make(map[state.NodeID]*peer)
	}
	l.spawn(l.sweep)
	if opt.Listener != nil {
		l.server = l.newServer()
		l.spawn(l.serve)
	}
	return l, nil
}

// SetPeer names a peer and where to dial it, as IP:port. It doesn't dial. An
// address that isn't usable makes Send refuse unless the peer dials us.
func (l *Links) SetPeer(id state.NodeID, addr string) {
	if id == l.opt.Self {
		return
	}
	for {
		if l.peer(id).declare(addr) {
			return
		}
	}
}

// Forget drops a peer: nothing more is sent to it, an open link is flushed and
// closed, and Down isn't called for it. If the peer dials, it is known again, and
// for as long as the old link takes to close it may be heard over both.
func (l *Links) Forget(id state.NodeID) {
	sh := l.shard(id)
	sh.mu.Lock()
	p := sh.peers[id]
	delete(sh.peers, id)
	sh.mu.Unlock()
	if p != nil {
		p.forget()
	}
}

// Send queues msg for a peer and returns whether it was accepted. It never
// blocks. False means that the message certainly won't be delivered: the peer
// is unknown or is this node itself, a queue is full, the message is too large
// or has no wire form, or the links are closed. Slices in msg must not be
// changed afterwards.
func (l *Links) Send(to state.NodeID, msg message.Message) bool {
	reason := l.send(to, msg)
	if reason != "" {
		l.metrics.refused.WithLabelValues(string(reason)).Inc()
	}
	return reason == ""
}

func (l *Links) send(to state.NodeID, msg message.Message) Reason {
	p := l.lookup(to)
	if p == nil {
		return ReasonUnknownPeer
	}
	envelope, err := wire.Encode(msg)
	if err != nil {
		logRefused(to, err)
		return ReasonNoEncoding
	}
	size := proto.Size(envelope)
	if size > l.opt.MaxMessageBytes {
		return ReasonTooLarge
	}
	kind := reflect.TypeOf(msg).Name()
	return p.enqueue(item{envelope: envelope, size: size, sent: l.metrics.sent.WithLabelValues(kind)})
}

// Close refuses new messages, flushes what is queued, tells the peers that this
// node leaves and ends all links. When ctx ends first, the rest is cut and
// ErrUnflushed returned. No callback runs after Close has returned.
func (l *Links) Close(ctx context.Context) error {
	l.closed.Store(true)
	for _, p := range l.all() {
		p.leave()
	}
	err := l.awaitQuiet(ctx)
	if l.server != nil {
		stop := context.AfterFunc(ctx, l.server.Stop)
		defer stop()
		l.server.GracefulStop()
	}
	l.life.Lock()
	l.stopped = true
	l.life.Unlock()
	l.cancel()
	l.wg.Wait()
	return err
}

func (l *Links) awaitQuiet(ctx context.Context) error {
	poll := time.NewTicker(quietPoll)
	defer poll.Stop()
	for !l.quiet() {
		select {
		case <-ctx.Done():
			l.cancel()
			return errors.Wrap(ErrUnflushed, ctx.Err().Error())
		case <-poll.C:
		}
	}
	return nil
}

func (l *Links) quiet() bool {
	for _, p := range l.all() {
		if !p.quiet() {
			return false
		}
	}
	return true
}

func (l *Links) shard(id state.NodeID) *shard {
	return &l.shards[xxhash.Sum64String(string(id))%shardCount]
}

func (l *Links) lookup(id state.NodeID) *peer {
	sh := l.shard(id)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.peers[id]
}

// peer returns the peer, new if it wasn't known.
func (l *Links) peer(id state.NodeID) *peer {
	if p := l.lookup(id); p != nil {
		return p
	}
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	p := sh.peers[id]
	if p == nil {
		p = &peer{links: l, id: id, lastUsed: time.Now(), generation: l.generation.Add(1)}
		sh.peers[id] = p
	}
	return p
}

func (l *Links) all() []*peer {
	var out []*peer
	for i := range l.shards {
		sh := &l.shards[i]
		sh.mu.RLock()
		for _, p := range sh.peers {
			out = append(out, p)
		}
		sh.mu.RUnlock()
	}
	return out
}

// spawn runs f in a goroutine that Close waits for; false when it is too late.
func (l *Links) spawn(f func()) bool {
	l.life.RLock()
	defer l.life.RUnlock()
	if l.stopped {
		return false
	}
	l.wg.Go(func() {
		defer crash()
		f()
	})
	return true
}

// crash ends the process on a panic. The wait group would keep the panic until
// Close, so the node would look alive and be silent to one peer for good; only
// a panic outside of it ends the process.
func crash() {
	if r := recover(); r != nil {
		stack := debug.Stack()
		go panic(fmt.Sprintf("link: %v\n%s", r, stack))
		select {}
	}
}
