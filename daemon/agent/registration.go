package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// startIncarnation stores a record for this incarnation of the agent and returns the incarnation
// number. The number is the record's offset plus one, so it increases with each incarnation. The
// result must not be used if ctx has ended.
func (a *Agent) startIncarnation(ctx context.Context) int64 {
	var incarnation int64
	core.Retry(ctx, "Can't store the incarnation of the agent yet", func() error {
		offset, err := a.appendNote(ctx, incarnationKey(a.settings.Name), []byte(a.member))
		incarnation = offset + 1
		return err
	})
	return incarnation
}

// restoreNotes reads the notes of earlier incarnations, applies them, and returns them.
func (a *Agent) restoreNotes(ctx context.Context) storedState {
	var s storedState
	core.Retry(ctx, "Can't read the notes of earlier incarnations yet", func() error {
		var err error
		s, err = a.readNotes(ctx)
		return err
	})
	if ctx.Err() != nil {
		return storedState{}
	}
	a.recentPlacers.restore(bootclock.Now(), s.Owners)
	a.registered.CompareAndSwap(nil, s.Registered)
	if s.hasMarker {
		a.markerStored.Store(true)
	}
	if s.bestEffortOnly() {
		a.worker.SetFormerOwners(s.Owners)
	}
	return s
}

// maintainRegistration keeps the agent's registration up to date until the context ends. The
// agent registers after the first report of its backend server, and again when offerUpdates is
// signalled and the registration has changed.
func (a *Agent) maintainRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		before := a.registered.Load()
		core.Retry(ctx, "Can't register the agent yet", func() error { return a.register(ctx) })
		if a.registered.Load() != before {
			_ = pause.For(ctx, registrationInterval)
		}
		select {
		case <-ctx.Done():
		case <-a.offerUpdates:
		}
	}
}

// registrationInterval is the least time between two writes of the registration. Without it, a
// capacity that alternates would be written, and read by all entries, with each report.
const registrationInterval = time.Second

// register writes the registration to the registry, unless the registry has it already.
func (a *Agent) register(ctx context.Context) error {
	reg, ok := a.registration()
	if last := a.registered.Load(); !ok || last != nil && reg.Equal(last) {
		return nil
	}
	if err := core.Announce(ctx, a.store, a.settings.Name, reg); err != nil {
		return err
	}
	a.registered.Store(reg)
	a.recentPlacers.markDirty()
	klog.InfoS("The agent is registered", "links", reg.LinkAddr, "zone", reg.Domain, "service", reg.Offer.Service, "labels", reg.Offer.Labels, "orphans", reg.Orphans)
	return nil
}

// offerChanged signals that the registration may have changed.
func (a *Agent) offerChanged() {
	select {
	case a.offerUpdates <- struct{}{}:
	default:
	}
}

// registration returns the agent's present registration. It returns false while no backend server
// is known.
func (a *Agent) registration() (*core.Registration, bool) {
	s, ok := a.worker.Server()
	if !ok {
		return nil, false
	}
	return &core.Registration{
		LinkAddr: a.settings.Listen.LinksAddress(), Domain: a.settings.Domain, Orphans: a.hasOrphans.Load(),
		Offer: &core.Offer{Service: s.Service, Labels: s.Labels, Capacity: s.Capacity},
	}, true
}

// maintainNotes writes the notes when their contents have changed. Once an end is orphaned, it
// also announces that in the registry, so that owners link this agent and settle the end.
func (a *Agent) maintainNotes(ctx context.Context, now time.Duration) {
	if a.recentPlacers.writeDue(now) {
		go a.writeNotes(ctx)
	}
	if !a.worker.HasOrphanedEnds(now) || a.hasOrphans.Swap(true) {
		return
	}
	klog.InfoS("Ends are waiting for the owners of their shards; asking the owners to claim")
	a.offerChanged()
}

// resume continues with the backend server that an earlier incarnation has stored, if that
// instance answers.
func (a *Agent) resume(ctx context.Context, s *storedServer) {
	a.restoreSpeed(bootclock.Now(), s)
	if !s.usable() {
		return
	}
	call, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	h, err := a.backend.Hold(call, worker.HoldCall{Instance: s.instance()}, 0)
	if err != nil {
		klog.InfoS("The backend server of the earlier incarnation does not answer", "instance", s.instance(), "err", err)
		return
	}
	instance := job.Instance{ID: s.ID, StartedMS: h.StartedMS}
	if s.StartedMS != 0 && instance != s.instance() {
		klog.InfoS("The backend server of the earlier incarnation has started again", "instance", instance, "known", s.instance())
		return
	}
	klog.InfoS("Resuming the backend server of the earlier incarnation", "instance", instance)
	a.apply(a.worker.Resume(bootclock.Now(), worker.Server{
		Instance: instance, Service: s.Service, Labels: s.Labels, Capacity: s.Capacity, Draining: s.Draining,
	}, h.ClockMS))
}

func newStoredServer(s worker.Server, capacityChanged bool, speed worker.Speed) *storedServer {
	out := &storedServer{
		ID: s.Instance.ID, StartedMS: s.Instance.StartedMS, Service: s.Service, Labels: s.Labels,
		Capacity: s.Capacity, Draining: s.Draining, CapacityChanged: capacityChanged,
	}
	if speed.Instance == s.Instance {
		out.Speed, out.SpeedRuns = speed.Speed, speed.Runs
	}
	return out
}

// Report handles a report of the backend server.
func (a *Agent) Report(s worker.Server, clockMS int64) {
	if known, _ := a.worker.Server(); s.Instance.StartedMS != 0 && s.Instance.Precedes(known.Instance) {
		klog.InfoS("Ignoring a late report of an earlier incarnation", "instance", s.Instance, "known", known.Instance)
		return
	}
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
	klog.InfoS("The backend server has changed", "instance", s.Instance, "service", s.Service, "labels", s.Labels, "cores", s.Capacity.CPUMillis, "draining", s.Draining, "cold", s.ColdRemaining)
	a.recentPlacers.markDirty()
}

// acceptsReport reports whether s may be a report of the backend server beside this agent. It may
// also come from another writer, or be a delayed report of an earlier instance. If that were
// taken for a new instance, the runs of the present instance would count as lost and their tasks
// would run twice. So a report of another instance is checked with a hold.
func (a *Agent) acceptsReport(s worker.Server) bool {
	known, reported := a.worker.Server()
	switch {
	case !a.serving.Load():
		return true
	case s.Instance == known.Instance:
		if reported && known.Service != s.Service {
			klog.InfoS("Ignoring a report that names another service for the same instance", "instance", s.Instance, "service", s.Service, "known", known.Service)
			return false
		}
		return true
	case s.Instance.Precedes(known.Instance):
		klog.InfoS("Ignoring a report without the start time that earlier ones had", "instance", s.Instance, "known", known.Instance)
		return false
	case !reported && s.Instance.ID != known.Instance.ID:
		return true
	}
	return a.isRunning(s.Instance, known.Instance)
}

// isRunning asks the backend server with a hold whether an instance is the one that runs. If it
// doesn't answer, an instance with another ID is assumed to run: such a server can't start anything
// either. An incarnation under the known ID is not, since the lists show a restart as soon as the
// server answers.
func (a *Agent) isRunning(instance, known job.Instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	h, err := a.backend.Hold(ctx, worker.HoldCall{Instance: instance}, 0)
	running := false
	switch {
	case err == nil:
		running = h.StartedMS == 0 || h.StartedMS == instance.StartedMS
	case !errors.Is(err, worker.ErrOtherInstance):
		running = instance.ID != known.ID
	}
	if !running {
		klog.InfoS("Ignoring a report of an instance that is not running", "instance", instance, "known", known, "answered_start", h.StartedMS, "err", err)
	}
	return running
}

// Deregistered handles the deregistration of an instance of the backend server.
func (a *Agent) Deregistered(instance job.Instance) { a.apply(a.worker.Deregistered(instance)) }
