package loadgen

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/transport/pause"
)

const (
	// minRoundTrips is the number of round trips that every job needs: caller and
	// entry, entry and owner, owner and store, owner and agent, agent and backend
	// server.
	minRoundTrips = 5
	// roundTripProbes is the number of calls whose shortest time is taken as the
	// round trip.
	roundTripProbes = 10
	// freeSlotsTimeout is the maximum wait for occupied slots to become free
	// before a run, freeSlotsPollInterval the interval between two status calls.
	freeSlotsTimeout      = 5 * time.Second
	freeSlotsPollInterval = 100 * time.Millisecond
)

// systemSize is the size of the part of the system that serves one service, from an
// entry's status before the run. Each core counts as one slot.
type systemSize struct {
	agents, slots, free int
	// roundTrip is the shortest round trip between caller and entry.
	roundTrip time.Duration
}

// measureSystem returns the size of the system for a service. The status shows with
// a delay that slots are free, so it waits up to freeSlotsTimeout for slots that an
// earlier run occupied.
func measureSystem(ctx context.Context, service string, entry Caller) (systemSize, error) {
	var size systemSize
	for begin := time.Now(); ; {
		doc, f := entry.Status(ctx)
		if f != nil {
			return size, errors.Errorf("get the entry's status: %s", f)
		}
		size = countSlots(doc, service)
		if size.slots == 0 {
			return size, errors.Errorf("the entry's status has no slots of service %q", service)
		}
		if size.free >= size.slots || time.Since(begin) >= freeSlotsTimeout || pause.For(ctx, freeSlotsPollInterval) != nil {
			break
		}
	}
	var err error
	size.roundTrip, err = measureRoundTrip(ctx, entry)
	return size, err
}

// countSlots adds up the slots of the agents that serve the service and accept work.
func countSlots(doc api.Status, service string) systemSize {
	var size systemSize
	for i := range doc.Agents {
		a := &doc.Agents[i]
		if a.Service == service && a.Accepts {
			size.agents++
			size.slots += int(a.Cores)
			size.free += max(0, int(a.FreeCores))
		}
	}
	return size
}

// measureRoundTrip returns the shortest time of several status calls.
func measureRoundTrip(ctx context.Context, entry Caller) (time.Duration, error) {
	shortest := time.Duration(0)
	for i := range roundTripProbes {
		begin := time.Now()
		if _, f := entry.Status(ctx); f != nil {
			return 0, errors.Errorf("get the entry's status: %s", f)
		}
		if took := time.Since(begin); i == 0 || took < shortest {
			shortest = took
		}
	}
	return shortest, nil
}
