package core

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// enrol registers until it succeeds. It returns the number of this life, which
// rises with each one since it comes from the offset of the registration, and
// what the earlier life has announced.
func (a *Agent) enrol(ctx context.Context) (int64, *registration) {
	for {
		previous, err := previousLife(ctx, a.store, a.settings.Name)
		if err == nil {
			var offset int64
			offset, err = announce(ctx, a.store, a.settings.Name, a.registration(previous.server()))
			if err == nil {
				return offset + 1, previous
			}
		}
		if ctx.Err() != nil {
			return 0, nil
		}
		klog.InfoS("The agent can't register yet", "err", err)
		_ = pause.For(ctx, retryPause)
	}
}

func (a *Agent) registration(server *knownServer) registration {
	return registration{
		Links: a.settings.Listen.LinksAddress(), Member: a.member, Zone: a.settings.Zone, Server: server,
		Orphans: a.orphaned.Load(),
	}
}

// takeNotes takes in what earlier lives have written down.
func (a *Agent) takeNotes(ctx context.Context) {
	for ctx.Err() == nil {
		e, err := a.readNotes(ctx)
		if err != nil {
			klog.InfoS("The notes of earlier lives can't be read yet", "err", err)
			_ = pause.For(ctx, retryPause)
			continue
		}
		a.placed.carryOver(bootclock.Now(), e.owners)
		if e.recorded {
			a.marked.Store(true)
		}
		if e.effortOnly() {
			a.worker.Former(e.owners)
		}
		return
	}
}

// keepNotes writes down whose orders this agent has taken, when that changes, and asks
// for the owners of ends that wait for them.
func (a *Agent) keepNotes(ctx context.Context, now time.Duration) {
	if a.placed.due(now) {
		go a.writeNotes(ctx)
	}
	if !a.worker.Orphaned(now) || a.orphaned.Swap(true) {
		return
	}
	klog.InfoS("Ends wait for the owners of their shards; they are asked to claim")
	if s, ok := a.worker.Server(); ok {
		go a.remember(ctx, s)
	}
}

// resume goes on with the backend server that the earlier life knew, if that
// instance answers.
func (a *Agent) resume(ctx context.Context, s *knownServer) {
	if s == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	h, err := a.executor.Hold(call, worker.HoldCall{Instance: s.Instance}, 0)
	if err != nil {
		klog.InfoS("The backend server of the earlier life does not answer", "instance", s.Instance, "err", err)
		return
	}
	klog.InfoS("Going on with the backend server of the earlier life", "instance", s.Instance)
	a.apply(a.worker.Resume(bootclock.Now(), worker.Server{
		Instance: s.Instance, Service: s.Service, Labels: s.Labels, Capacity: s.Capacity, Draining: s.Draining,
	}, h.ClockMS))
}

func known(s worker.Server) *knownServer {
	return &knownServer{Instance: s.Instance, Service: s.Service, Labels: s.Labels, Capacity: s.Capacity, Draining: s.Draining}
}

// remember writes down the backend server when it has changed.
func (a *Agent) remember(ctx context.Context, s worker.Server) {
	if _, err := announce(ctx, a.store, a.settings.Name, a.registration(known(s))); err != nil {
		klog.InfoS("The backend server could not be written down; the next life waits for its report", "err", err)
	}
}

// Report takes in a report of the backend server.
func (a *Agent) Report(s worker.Server, clockMS int64) {
	if !a.believes(s) {
		metrics.Malformed(metrics.KindReport)
		return
	}
	changed := a.worker.Changes(s)
	a.apply(a.worker.Report(bootclock.Now(), s, clockMS))
	if !changed {
		return
	}
	klog.InfoS("The backend server has changed", "instance", s.Instance, "service", s.Service, "labels", s.Labels, "cores", s.Capacity.CPUMillis, "draining", s.Draining)
	if a.enrolled.Load() {
		go a.remember(context.Background(), s)
	}
}

// believes reports whether a report may be of the backend server beside this agent. It
// may be another writer's, or an earlier instance's that was held up: taken for a new
// one, the runs of the present instance would count as lost and be started again beside
// themselves. So the backend server itself is asked; one that does not answer can't
// start anything either.
func (a *Agent) believes(s worker.Server) bool {
	known, ok := a.worker.Server()
	if !ok || !a.enrolled.Load() {
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
	_, err := a.executor.Hold(ctx, worker.HoldCall{Instance: s.Instance}, 0)
	if errors.Is(err, worker.ErrOtherInstance) {
		klog.InfoS("A report is of an instance that is not there and is left out", "instance", s.Instance, "known", known.Instance)
		return false
	}
	return true
}

// Left takes in that the backend server is going.
func (a *Agent) Left(instance string) { a.apply(a.worker.Left(instance)) }
