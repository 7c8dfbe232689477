package entry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/snapshot"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/pause"
	"github.com/shallotstep/shallotstep/transport/peer"
)

const (
	// peerDelay is how long a starting entry waits for the store before it asks the seeds. The
	// store answers within 20 ms, and within 100 ms while it is slow.
	peerDelay = 150 * time.Millisecond
	// minAskDelay and maxAskDelay are the backoff between two questions to the seeds while the
	// entry has no configuration. The seeds may start at the same moment.
	minAskDelay = 100 * time.Millisecond
	maxAskDelay = 500 * time.Millisecond
	// askTimeout bounds a question to a seed that hangs. An agent answers within 0.7 s.
	askTimeout = 900 * time.Millisecond
	// renewalsPerBound is how often the seeds are asked for a newer configuration within the time
	// for which one holds: two answers may be lost.
	renewalsPerBound = 4
	// defaultToldBound is how long a configuration from a peer holds without the store's word if
	// the settings don't say when a new one has to be in force.
	defaultToldBound = 2 * time.Second
)

// toldBound returns how long a configuration from a peer holds after the store last confirmed it to
// somebody.
func toldBound(s *settings.Settings) time.Duration {
	if s.Bounds.ConfigApply > 0 {
		return s.Bounds.ConfigApply
	}
	return defaultToldBound
}

// seedAddrs returns where the agents at the seeds accept links. The seeds' own ports are those of
// other listeners; agents accept links at the same port on all hosts, that of listen.links.
func seedAddrs(s *settings.Settings) ([]string, error) {
	if len(s.Seeds) == 0 {
		return nil, nil
	}
	_, port, err := net.SplitHostPort(s.Listen.Links)
	if err != nil {
		return nil, errors.Wrapf(err, "listen.links %q has no port at which to ask the seeds", s.Listen.Links)
	}
	var out []string
	for _, seed := range s.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil {
			return nil, errors.Wrapf(err, "seed %q", seed)
		}
		out = append(out, net.JoinHostPort(addr.Addr().String(), port))
	}
	return out, nil
}

// startFromPeers asks the seeds for the configuration, the drains and the registry while the store
// has not answered this entry, until it has answered or ctx ends.
func (e *Entry) startFromPeers(ctx context.Context) {
	addrs, err := seedAddrs(e.settings)
	if err != nil {
		klog.ErrorS(err, "Can't ask peers for the configuration")
		return
	}
	if len(addrs) == 0 || e.drains.Partition() != e.config || pause.For(ctx, peerDelay) != nil || e.storeHeard() {
		return
	}
	klog.InfoS("The store has not answered; asking peers", "seeds", addrs)
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, addr := range addrs {
		client, err := peer.NewSnapshotClient(addr)
		if err != nil {
			klog.ErrorS(err, "Can't ask a peer")
			continue
		}
		wg.Go(func() {
			e.askWhileNeeded(ctx, client)
			if err := client.Close(); err != nil {
				klog.V(1).InfoS("The connection to a peer could not be closed", "err", err)
			}
		})
	}
}

// storeHeard reports whether this entry has read the configuration and the registry in the store.
func (e *Entry) storeHeard() bool { return e.copies.config.Read() && e.copies.registry.Read() }

// askWhileNeeded asks one seed again and again until the store has answered or ctx ends.
func (e *Entry) askWhileNeeded(ctx context.Context, client *peer.SnapshotClient) {
	backoff := pause.Backoff{Min: minAskDelay, Max: maxAskDelay}
	for ctx.Err() == nil && !e.storeHeard() {
		began := bootclock.Now()
		if err := e.askPeer(ctx, client); err != nil {
			e.metrics.CountPeerAnswer("failed")
			klog.InfoS("A peer could not tell the configuration", "peer", client.Addr, "err", err)
			_ = backoff.Wait(ctx, bootclock.Now()-began)
			continue
		}
		backoff.Reset()
		_ = pause.For(ctx, toldBound(e.settings)/renewalsPerBound)
	}
}

// askPeer asks one seed once and applies its answer. It returns an error if there was no usable
// answer.
func (e *Entry) askPeer(ctx context.Context, client *peer.SnapshotClient) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	began := bootclock.Now()
	answer, err := client.Ask(ctx, &corepb.SnapshotRequest{
		ConfigPosition: e.copies.config.Position(), Registry: e.copies.registry.Position() == 0,
	})
	if status.Code(err) == codes.ResourceExhausted {
		metrics.Malformed(metrics.KindSnapshot) // larger than wire.MaxSnapshotBytes
	}
	if err != nil {
		return err
	}
	// The whole round trip counts as the way of the answer, because the peer may have read the
	// store at its beginning.
	transit := bootclock.Now() - began
	if err := e.applyToldRegistry(answer.GetRegistry(), transit); err != nil {
		return err
	}
	return e.applyToldConfig(answer.GetConfig(), transit)
}

// applyToldConfig applies the configuration and the drains that a peer has told.
func (e *Entry) applyToldConfig(p *corepb.StoredPartition, transit time.Duration) error {
	if p == nil {
		return errors.New("the peer knows no configuration")
	}
	e.toldMu.Lock()
	defer e.toldMu.Unlock()
	s := wire.StateFromWire(p, transit)
	if p.GetUnchanged() && s.Position != e.copies.config.Position() {
		return errors.New("the answer refers to records that were replaced meanwhile")
	}
	until := bootclock.Now() - s.Age + toldBound(e.settings)
	decision := e.offer(&e.copies.config, &s, toldBound(e.settings))
	switch decision {
	case snapshot.Applied:
		e.drains.MergeRecords(s.Records, s.Position, s.Age)
		for _, r := range s.Records {
			e.applyConfig(r, until)
		}
		e.extendTold(until)
		klog.InfoS("Took the configuration from a peer", "position", s.Position, "age", s.Age)
	case snapshot.Confirmed:
		e.drains.Confirm(s.Position, s.Age)
		e.extendTold(until)
	case snapshot.Older, snapshot.Expired, snapshot.Malformed:
		return errors.Errorf("the configuration of the peer is %s: position %d, age %v", decision, s.Position, s.Age)
	case snapshot.Superseded:
	}
	return nil
}

// extendTold lets a configuration from a peer hold until a later time. It does nothing once the
// store has told one here.
func (e *Entry) extendTold(until time.Duration) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if old := e.toldUntil.Get(); old > 0 {
		e.toldUntil.Set(max(old, until))
	}
}

// applyToldRegistry applies the registry that a peer has told. It holds until the store answers: it
// serves to find agents only, and nothing that must be true depends on it.
func (e *Entry) applyToldRegistry(p *corepb.StoredPartition, transit time.Duration) error {
	if p == nil {
		return nil
	}
	e.toldMu.Lock()
	defer e.toldMu.Unlock()
	s := wire.StateFromWire(p, transit)
	switch decision := e.offer(&e.copies.registry, &s, registryBound); decision {
	case snapshot.Applied:
		e.links.ApplyTold(s.Records)
		klog.InfoS("Took the registry of agents from a peer", "position", s.Position, "age", s.Age, "agents", len(s.Records))
	case snapshot.Malformed:
		return errors.Errorf("the registry of the peer is malformed: position %d, age %v", s.Position, s.Age)
	default:
	}
	return nil
}

// registryBound is the age from which on a registry is not worth taking: its agents have moved.
const registryBound = time.Hour

// offer offers a state that a peer has told to a copy, and counts what became of it.
func (e *Entry) offer(c *snapshot.Copy, s *snapshot.State, bound time.Duration) snapshot.Decision {
	decision := c.Offer(bootclock.Now(), s, bound)
	e.metrics.CountPeerAnswer(decision.String())
	if decision == snapshot.Malformed {
		metrics.Malformed(metrics.KindSnapshot)
	}
	return decision
}

// answerSnapshot sends an agent what this entry has read or been told, with its age, for an entry
// that starts without the store.
func (e *Entry) answerSnapshot(node string, q *corepb.SnapshotQuestion) {
	link := e.links.Get(node)
	if link == nil {
		return
	}
	answer := e.copies.toWire(bootclock.Now(), toldBound(e.settings), q)
	link.Send(func(f *corepb.ToAgent) { f.Snapshot = answer })
}

// copies are the entry's copies of partitions of the store.
type copies struct{ config, registry snapshot.Copy }

// toWire returns the copies that another process asks for. The configuration is left out if it was
// confirmed too long ago for anybody to take it.
func (c *copies) toWire(now, bound time.Duration, q *corepb.SnapshotQuestion) *corepb.StoreSnapshot {
	out := &corepb.StoreSnapshot{Question: q}
	if s, ok := c.config.State(now); ok && q.GetConfig() && c.config.ConfirmedWithin(now, bound) {
		out.Config = wire.StateToWire(&s)
	}
	if s, ok := c.registry.State(now); ok && q.GetRegistry() {
		out.Registry = wire.StateToWire(&s)
	}
	if wire.BoundSnapshot(out, wire.MaxFrameSnapshotBytes) {
		klog.InfoS("What this entry knows is too large to pass on", "registry", out.Registry != nil, "configuration", out.Config != nil)
	}
	return out
}

// Sources of what an entry knows, as log lines and metrics have them.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// sourceOf returns the source of a configuration that holds until a time, or without a limit.
func sourceOf(toldUntil time.Duration) string {
	if toldUntil == 0 {
		return sourceStore
	}
	return sourcePeer
}
