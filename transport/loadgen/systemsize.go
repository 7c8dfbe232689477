package loadgen

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/transport/pause"
)

const (
	// roundTrips are those that a job can't do without: caller and entry, entry
	// and owner, owner and store, owner and agent, agent and backend server.
	minRoundTrips = 5
	// probes is how many calls the round trip is taken from, the shortest of them.
	roundTripProbes = 10
	// settleLimit is how long slots that are still taken are waited for, and
	// settleEvery how often they are looked at.
	freeSlotsTimeout      = 5 * time.Second
	freeSlotsPollInterval = 100 * time.Millisecond
)

// systemSize is how large the system is, by an entry's status before the run. A
// core counts as a slot.
type systemSize struct {
	agents, slots, free int
	// trip is the shortest round trip between caller and entry.
	roundTrip time.Duration
}

// sizeOf adds up the agents that serve the service. A load shows free slots late,
// so slots that an earlier run held are waited for a while.
func measureSystem(ctx context.Context, service string, entry Caller) (systemSize, error) {
	var size systemSize
	for begin := time.Now(); ; {
		doc, f := entry.Status(ctx)
		if f != nil {
			return size, errors.Errorf("the entry's status: %s", f)
		}
		size = countSlots(doc, service)
		if size.slots == 0 {
			return size, errors.Errorf("the entry knows no slot of service %q", service)
		}
		if size.free >= size.slots || time.Since(begin) >= freeSlotsTimeout || pause.For(ctx, freeSlotsPollInterval) != nil {
			break
		}
	}
	var err error
	size.roundTrip, err = measureRoundTrip(ctx, entry)
	return size, err
}

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

func measureRoundTrip(ctx context.Context, entry Caller) (time.Duration, error) {
	shortest := time.Duration(0)
	for i := range roundTripProbes {
		begin := time.Now()
		if _, f := entry.Status(ctx); f != nil {
			return 0, errors.Errorf("the entry's status: %s", f)
		}
		if took := time.Since(begin); i == 0 || took < shortest {
			shortest = took
		}
	}
	return shortest, nil
}
