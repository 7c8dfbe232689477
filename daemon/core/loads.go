package core

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/owner"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// malformedLoadInterval is the least time between two log lines about malformed loads, which come
// with each frame of an agent.
const malformedLoadInterval = time.Second

// LoadReader reads the loads in agents' frames. It is safe for concurrent use.
type LoadReader struct {
	loggedAt AtomicDuration
}

// Read returns the load in an agent's frame in the form that owners use. A speed that can't be one
// is counted as malformed and taken for unknown.
func (r *LoadReader) Read(now time.Duration, node string, p *corepb.Load) owner.AgentLoad {
	if !wire.SpeedIsValid(p) {
		metrics.Malformed(metrics.KindSpeed)
		if last := r.loggedAt.Get(); last == 0 || now-last >= malformedLoadInterval {
			r.loggedAt.Set(now)
			klog.InfoS("Ignoring a malformed speed in the load of an agent", "agent", node, "speed", p.GetSpeed(), "runs", p.GetSpeedRuns())
		}
	}
	return wire.LoadFromWire(p)
}
