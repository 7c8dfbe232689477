package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Sixty callers are linked to an agent, and most of them never send it an order. When each
// change of the load was sent to all of them, that took more processor time on both sides
// than the jobs.
func TestLoadUpdatesGoOnlyToPlacers(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	var n callerState
	is.True(!n.isPlacer(now)) // no order has come yet
	n.recordOrder(now)
	is.True(n.isPlacer(now + placerTimeout - 1))
	is.True(!n.isPlacer(now + placerTimeout))

	full, empty := loadSummary{waiting: 3, accepts: true}, loadSummary{accepts: true}
	const pause = 8 * loadIntervalPerPlacer
	n.recordFrame(now, full)
	is.True(!n.loadDue(now+pause, full, pause))    // the load has not changed
	is.True(!n.loadDue(now+pause-1, empty, pause)) // the pause has not passed
	is.True(n.loadDue(now+pause, empty, pause))
}

// An entry drops the owner of a shard when that owner answers that it is not the owner. The
// frames of an agent must repeat which shards it owns, even when nothing has changed, so that
// the entry learns of the owner again.
func TestOwnershipIsSentAgain(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	var n callerState
	is.True(n.recordFrame(now, loadSummary{}))
	is.True(!n.recordFrame(now+ownershipInterval-1, loadSummary{}))
	is.True(n.recordFrame(now+ownershipInterval, loadSummary{}))
	n.resetOwnership()
	is.True(n.recordFrame(now+ownershipInterval+1, loadSummary{}))
}
