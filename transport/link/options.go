package link

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/defaults"
)

// Defaults for Options.
const (
	DefaultMaxQueue        = 8192
	DefaultMaxQueueBytes   = 32 << 20
	DefaultMaxTotalBytes   = 256 << 20
	DefaultMaxMessageBytes = 16 << 20
	DefaultIdleTimeout     = 30 * time.Second
	DefaultAnswerIdle      = 30 * time.Second
	DefaultWriteTimeout    = 5 * time.Second
	DefaultDialTimeout     = 2 * time.Second
	DefaultMinBackoff      = 50 * time.Millisecond
	DefaultMaxBackoff      = 2 * time.Second
)

const (
	// maxBatchBytes ends a frame, so that a long queue doesn't become one
	// frame that the receiver must hold in memory as a whole.
	maxBatchBytes = 256 << 10
	// frameOverhead is room for what a frame holds besides one largest message
	// and a batch.
	frameOverhead = 64 << 10
	// learnedTTL is how long the address of a peer that SetPeer didn't name is
	// kept after its last link, so that answers can still be dialled back.
	learnedTTL = 10 * time.Minute
	// maxSweep and minSweep bound how often idle and stuck links are looked for.
	maxSweep = time.Second
	minSweep = 5 * time.Millisecond

	// clientPing is the shortest interval the library allows a client.
	clientPing  = 10 * time.Second
	serverPing  = 5 * time.Second
	pingTimeout = 3 * time.Second
	// minClientPing refuses clients that ping more often than ours.
	minClientPing = 5 * time.Second
	// unusedConnection closes connections on which no stream is open.
	unusedConnection = time.Minute
	// readBuffer is smaller than the library's default: with TLS the difference
	// is a third of an idle link's memory, and bench/link shows no slower link.
	readBuffer = 4 << 10
	// window is how much a side may send before the other has taken it in. Left
	// to itself the library estimates it: it answers data with pings, which are
	// a frame, a system call and a wake-up more at both ends for most messages
	// of a link that carries few. 1 MiB is 100 MB/s at a round trip of 10 ms.
	window = 1 << 20
	// maxHeaderBytes bounds the header list; ours is a few hundred bytes.
	maxHeaderBytes = 8 << 10
)

// TLS holds what proves a node to its peers. Both configurations must verify
// certificates against the fleet's CA themselves; transport/tlsconf makes such.
type TLS struct {
	Server *tls.Config
	Client *tls.Config
	// FleetNames are certificate names that stand for any node, for a fleet
	// whose hosts share one certificate. Whoever holds such a certificate can
	// speak as any node. Empty means that a certificate must carry the name of
	// its node: the part of the NodeID before the '@'.
	FleetNames []string
}

// Options says how a node links to others. The zero value of a limit means its
// default.
type Options struct {
	// Self is this node, as name@incarnation.
	Self state.NodeID
	// Addr is where others dial this node, as IP:port. Empty means that they
	// can't; such a node keeps idle links for AnswerIdle, because answers could
	// not come back otherwise.
	Addr string
	// Listener accepts links; nil for a node that only dials.
	Listener net.Listener
	// TLS is nil for plain TCP, which is allowed on loopback only.
	TLS *TLS
	// Handler takes each message. It must not call Close.
	Handler func(from state.NodeID, msg message.Message)
	// Down tells that the link to a peer broke, that a peer has left or that a
	// peer couldn't be dialled. May be nil.
	Down func(id state.NodeID)
	// Up tells that a link to a peer is there. It comes again after an idle
	// link was closed and dialled anew. May be nil.
	Up func(id state.NodeID)
	// Registry takes the metrics; nil for none.
	Registry prometheus.Registerer

	// MaxQueue and MaxQueueBytes bound what waits for one peer.
	MaxQueue      int
	MaxQueueBytes int
	// MaxTotalBytes bounds what waits for all peers together.
	MaxTotalBytes int
	// MaxMessageBytes bounds one message in wire form.
	MaxMessageBytes int
	// IdleTimeout is how long a link without messages stays open.
	IdleTimeout time.Duration
	// AnswerIdle is how long a node without Addr keeps a link without messages,
	// if that is longer than IdleTimeout. It must be longer than the node leaves
	// a peer alone that it waits for: an entry asks after at most 10 s.
	AnswerIdle time.Duration
	// WriteTimeout is how long a peer may take to accept a frame or to answer
	// a Closing before its link is cut.
	WriteTimeout time.Duration
	// DialTimeout bounds connecting and the exchange of Hellos.
	DialTimeout time.Duration
	// MinBackoff and MaxBackoff bound the wait after a failed dial.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

func (o *Options) setDefaults() {
	defaults.Positive(&o.MaxQueue, DefaultMaxQueue)
	defaults.Positive(&o.MaxQueueBytes, DefaultMaxQueueBytes)
	defaults.Positive(&o.MaxTotalBytes, DefaultMaxTotalBytes)
	defaults.Positive(&o.MaxMessageBytes, DefaultMaxMessageBytes)
	defaults.Positive(&o.IdleTimeout, DefaultIdleTimeout)
	defaults.Positive(&o.AnswerIdle, DefaultAnswerIdle)
	defaults.Positive(&o.WriteTimeout, DefaultWriteTimeout)
	defaults.Positive(&o.DialTimeout, DefaultDialTimeout)
	defaults.Positive(&o.MinBackoff, DefaultMinBackoff)
	defaults.Positive(&o.MaxBackoff, DefaultMaxBackoff)
	if o.Down == nil {
		o.Down = func(state.NodeID) {}
	}
	if o.Up == nil {
		o.Up = func(state.NodeID) {}
	}
}

// idle is how long a link without messages stays open.
func (o *Options) idle() time.Duration {
	if o.Addr == "" {
		return max(o.IdleTimeout, o.AnswerIdle)
	}
	return o.IdleTimeout
}

func (o *Options) check() error {
	if baseName(o.Self) == "" {
		return errors.Errorf("node id %q isn't of the form name@incarnation", o.Self)
	}
	if o.Handler == nil {
		return errors.New("no handler for messages")
	}
	if o.Addr != "" {
		if _, err := checkAddr(o.Addr, o.TLS != nil); err != nil {
			return errors.Wrap(err, "advertised address")
		}
	}
	if o.TLS != nil && (o.TLS.Server == nil || o.TLS.Client == nil) {
		return errors.New("TLS needs a server and a client configuration")
	}
	if o.Listener != nil {
		if _, err := checkAddr(o.Listener.Addr().String(), o.TLS != nil); err != nil {
			return errors.Wrap(err, "listener")
		}
	}
	return nil
}
