package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// enrol returns the number of this life, which rises with each one since it is the offset
// of a record that this life writes; zero if the context has ended.
func (a *Agent) startIncarnation(ctx context.Context) int64 {
	var incarnation int64
	core.UntilDone(ctx, "The agent can't begin its life yet", func() error {
		offset, err := a.appendNote(ctx, incarnationKey(a.settings.Name), []byte(a.member))
		incarnation = offset + 1
		return err
	})
	return incarnation
}

// takeNotes takes in what earlier lives have written down.
func (a *Agent) restoreNotes(ctx context.Context) storedState {
	var e storedState
	core.UntilDone(ctx, "The notes of earlier lives can't be read yet", func() error {
		var err error
		e, err = a.readNotes(ctx)
		return err
	})
	if ctx.Err() != nil {
		return storedState{}
	}
	a.recentPlacers.restore(bootclock.Now(), e.Owners)
	a.registered.CompareAndSwap(nil, e.Registered)
	if e.hasMarker {
		a.markerStored.Store(true)
	}
	if e.bestEffortOnly() {
		a.worker.Former(e.Owners)
	}
	return e
}

// keepRegistered has the registry say what the agent offers, from the first report of its
// backend server on, until the context ends. It looks again when what it says may have
// changed.
func (a *Agent) maintainRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		before := a.registered.Load()
		core.UntilDone(ctx, "The agent can't register yet", func() error { return a.register(ctx) })
		if a.registered.Load() != before {
			_ = pause.For(ctx, registrationInterval)
		}
		select {
		case <-ctx.Done():
		case <-a.offerUpdates:
		}
	}
}

// offerPause spaces the writes of a registration. A capacity that goes back and forth would
// be written, and read by all entries, with each report.
const registrationInterval = time.Second

// register has the registry say what the agent offers, unless it does.
func (a *Agent) register(ctx context.Context) error {
	reg, ok := a.registration()
	if last := a.registered.Load(); !ok || last != nil && reg.Same(last) {
		return nil
	}
	if err := core.Announce(ctx, a.store, a.settings.Name, reg); err != nil {
		return err
	}
	a.registered.Store(reg)
	a.recentPlacers.markDirty()
	klog.InfoS("The agent is registered", "links", reg.Links, "zone", reg.Zone, "service", reg.Offer.Service, "labels", reg.Offer.Labels, "orphans", reg.Orphans)
	return nil
}

// offerChanged has the registration looked at again.
func (a *Agent) offerChanged() {
	select {
	case a.offerUpdates <- struct{}{}:
	default:
	}
}

// registration is what the registry should say; false before the first report.
func (a *Agent) registration() (*core.Registration, bool) {
	s, ok := a.worker.Server()
	if !ok {
		return nil, false
	}
	return &core.Registration{
		Links: a.settings.Listen.LinksAddress(), Zone: a.settings.Domain, Orphans: a.hasOrphans.Load(),
		Offer: &core.Offer{Service: s.Service, Labels: s.Labels, Capacity: s.Capacity},
	}, true
}

// keepNotes writes down whose orders this agent has taken, when that changes, and asks
// for the owners of ends that wait for them.
func (a *Agent) maintainNotes(ctx context.Context, now time.Duration) {
	if a.recentPlacers.writeDue(now) {
		go a.writeNotes(ctx)
	}
	if !a.worker.Orphaned(now) || a.hasOrphans.Swap(true) {
		return
	}
	klog.InfoS("Ends wait for the owners of their shards; they are asked to claim")
	a.offerChanged()
}

// resume goes on with the backend server that the earlier life knew, if that
// instance answers.
func (a *Agent) resume(ctx context.Context, s *storedServer) {
	if !s.usable() {
		return
	}
	call, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	h, err := a.backend.Hold(call, worker.HoldCall{Instance: s.Instance}, 0)
	if err != nil {
		klog.InfoS("The backend server of the earlier life does not answer", "instance", s.Instance, "err", err)
		return
	}
	klog.InfoS("Going on with the backend server of the earlier life", "instance", s.Instance)
	a.apply(a.worker.Resume(bootclock.Now(), worker.Server{
		Instance: s.Instance, Service: s.Service, Labels: s.Labels, Capacity: s.Capacity, Draining: s.Draining,
	}, h.ClockMS))
}

func newStoredServer(s worker.Server, varies bool) *storedServer {
	return &storedServer{Instance: s.Instance, Service: s.Service, Labels: s.Labels, Capacity: s.Capacity, Draining: s.Draining, Varies: varies}
}

// Report takes in a report of the backend server.
func (a *Agent) Report(s worker.Server, clockMS int64) {
	if !a.acceptsReport(s) {
		metrics.Malformed(metrics.KindReport)
		return
	}
	changed := a.worker.Changes(s)
	a.apply(a.worker.Report(bootclock.Now(), s, clockMS))
	a.offerChanged()
	if !changed {
		return
	}
	klog.InfoS("The backend server has changed", "instance", s.Instance, "service", s.Service, "labels", s.Labels, "cores", s.Capacity.CPUMillis, "draining", s.Draining, "cold", s.Cold)
	a.recentPlacers.markDirty()
}

// believes reports whether a report may be of the backend server beside this agent. It
// may be another writer's, or an earlier instance's that was held up: taken for a new
// one, the runs of the present instance would count as lost and be started again beside
// themselves. So the backend server itself is asked; one that does not answer can't
// start anything either.
func (a *Agent) acceptsReport(s worker.Server) bool {
	known, ok := a.worker.Server()
	if !ok || !a.serving.Load() {
		return true
	}
	if known.Instance == s.Instance {
		if known.Service != s.Service {
			klog.InfoS("A report names another service for the same instance and is left out", "instance", s.Instance, "service", s.Service, "known", known.Service)
		}
		return known.Service == s.Service
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_, err := a.backend.Hold(ctx, worker.HoldCall{Instance: s.Instance}, 0)
	if errors.Is(err, worker.ErrOtherInstance) {
		klog.InfoS("A report is of an instance that is not there and is left out", "instance", s.Instance, "known", known.Instance)
		return false
	}
	return true
}

// Left takes in that the backend server is going.
func (a *Agent) Left(instance string) { a.apply(a.worker.Left(instance)) }
