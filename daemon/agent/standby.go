package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// At most as many agents own shards as there are shards, however large the fleet is. If all agents
// were members of the owners' group, their joins, several a second each, would use up the store's
// calls as the fleet grows. So an agent stands by outside the group while the shards have enough
// owners. Members without a shard, left over from a start or a failure, take over from lost owners at
// once. If those are lost too, a standby joins: each looks seldom, but one of many looks soon.

// standbyInterval is the mean interval at which a standby looks at the owners.
const standbyInterval = 30 * time.Second

// awaitNeeded blocks until the agent is needed as an owner, and returns false if ctx ends before.
// The first look is within the start spread: the agents of a system that starts for the first time
// would otherwise all find no owners and all join.
func (a *Agent) awaitNeeded(ctx context.Context) bool {
	wait := time.Duration(rand.Float64() * float64(a.settings.Owners.StartSpread))
	for pause.For(ctx, wait) == nil {
		wait = time.Duration((0.5 + rand.Float64()) * float64(standbyInterval))
		if a.draining() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, core.StoreTimeout)
		owners, err := a.store.Owners(call, core.OwnersGroup)
		cancel()
		if err != nil {
			klog.InfoS("A standby could not read the owners of the shards", "err", err)
			continue
		}
		if n := numOwners(owners, core.ShardSeries(a.settings)); n < enoughOwners(a.settings.Shards()) {
			klog.InfoS("Offering to own shards", "owners", n, "enough", enoughOwners(a.settings.Shards()))
			return true
		}
	}
	return false
}

// enoughOwners returns the number of owners below which more agents are needed. A group may give two
// shards to one member while others have none. If each shard had to have an owner of its own, all
// agents would join such a group.
func enoughOwners(shards int) int { return max(1, shards*3/4) }

// numOwners returns the number of members that own shards of the series.
func numOwners(owners map[store.Partition]string, shards core.PartitionSeries) int {
	members := make(map[string]bool)
	for p, member := range owners {
		if _, ok := shards.Number(p); ok {
			members[member] = true
		}
	}
	return len(members)
}
