package runner

import (
	"context"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/gossip"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/link"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/platformlog"
)

// Node is a node of either role as Open takes it.
type Node interface {
	Machine
	Gossip() *gossip.Gossip
}

// Start says what Open starts.
type Start struct {
	Self    state.NodeID
	Machine Node
	// Perform carries out the actions that are the role's own.
	Perform func(coordination.Action)
	Log     platformlog.Options
	// Links holds the address, the listener, the proofs and the limits of the
	// links. Open sets the rest.
	Links   link.Options
	Metrics *metrics.Metrics
}

// Connected is a runner with the client of the log and the links that it drives.
type Connected struct {
	*Runner
	log   *platformlog.Client
	links *link.Links
}

// Open makes the log's client and the links of a node, registered with its
// metrics. What peers send waits for Begin, so that the role can keep the result
// before Perform is called.
func Open(s Start) (*Connected, error) {
	c := &Connected{log: platformlog.New(s.Log)}
	c.Runner = New(Options{Self: s.Self, Machine: s.Machine, Log: c.log, Perform: s.Perform})
	s.Metrics.WatchGossip(s.Machine.Gossip())
	s.Metrics.Registry.MustRegister(c.log.Collectors()...)
	s.Links.Self = s.Self
	s.Links.Handler = c.Receive
	s.Links.Up = c.Up
	s.Links.Down = c.Down
	s.Links.Registry = s.Metrics.Registry
	links, err := link.New(s.Links)
	if err != nil {
		return nil, errors.Wrap(err, "links")
	}
	c.links = links
	return c, nil
}

// Begin lets in what peers send. It must be called before Run.
func (c *Connected) Begin() { c.Bind(c.links) }

// Close flushes the links until the context ends, and then cuts them.
func (c *Connected) Close(ctx context.Context) {
	if err := c.links.Close(ctx); err != nil {
		klog.InfoS("Links were cut", "err", err)
	}
	c.log.Close()
}
