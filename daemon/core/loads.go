package core

import (
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/owner"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// LoadOfAgent returns the load in an agent's frame in the form that owners use. A speed that can't
// be one is counted as malformed and taken for unknown.
func LoadOfAgent(node string, p *corepb.Load) owner.AgentLoad {
	if !wire.SpeedIsValid(p) {
		metrics.Malformed(metrics.KindSpeed)
		klog.V(1).InfoS("Ignoring a malformed speed in the load of an agent", "agent", node, "speed", p.GetSpeed(), "runs", p.GetSpeedRuns())
	}
	return wire.LoadFromWire(p)
}
