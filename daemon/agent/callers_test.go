package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Sixty callers hear of each change of an agent's load, and most of them never send
// it an order. Telling them all took more processor time on both sides than the jobs.
func TestLoadUpdatesGoOnlyToPlacers(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	var n callerState
	is.True(!n.isPlacer(now)) // it has sent nothing yet
	n.recordOrder(now)
	is.True(n.isPlacer(now + placerTimeout - 1))
	is.True(!n.isPlacer(now + placerTimeout))

	full, empty := loadSummary{waiting: 3, accepts: true}, loadSummary{accepts: true}
	const pause = 8 * loadIntervalPerPlacer
	n.recordFrame(now, full)
	is.True(!n.loadDue(now+pause, full, pause))    // nothing has changed
	is.True(!n.loadDue(now+pause-1, empty, pause)) // other frames tell it as well
	is.True(n.loadDue(now+pause, empty, pause))
}

// An entry forgets the owner of a shard that has answered that it is none. It hears
// of the owner again with the agent's next frames, also when nothing has changed.
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
