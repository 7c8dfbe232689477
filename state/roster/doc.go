// Package roster derives, from the records of the platform's log, which agents
// may guard claims. Everybody who has applied the same records holds the same
// roster, because the log gives them one order.
//
// For each share of the job ids the roster names a pair of agents of a region:
// the home, first by rendezvous hash, and the witness, the next one that stands
// as far apart as the region allows. One record changes a pair by at most one
// member, so two pairs that follow each other always have a member in common.
package roster

import (
	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/state"
)

// Shares is the number of shares the job ids of a region are divided into. At
// 495 agents a region that is some eight shares per home: enough to spread the
// work, and few enough that a pass over all of them costs well under a
// millisecond.
const Shares = 4096

// keySeparator stands between a service and an id. Neither may contain it.
const keySeparator = "\x00"

// ShareOf returns the share a job id belongs to, below Shares.
func ShareOf(key state.JobKey) uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key.Service)
	_, _ = d.WriteString(keySeparator)
	_, _ = d.WriteString(key.ID)
	return uint32(d.Sum64() % Shares)
}
