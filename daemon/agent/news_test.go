package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Sixty callers hear of each change of an agent's load, and most of them never send
// it an order. Telling them all took more processor time on both sides than the jobs.
func TestLoadNewsGoesToThoseThatPlace(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	var n news
	is.True(!n.places(now)) // it has sent nothing yet
	n.ordered(now)
	is.True(n.places(now + placing - 1))
	is.True(!n.places(now + placing))

	full, empty := loadLevel{waiting: 3, accepts: true}, loadLevel{accepts: true}
	const pause = 8 * spreadCost
	n.told(now, full)
	is.True(!n.due(now+pause, full, pause))    // nothing has changed
	is.True(!n.due(now+pause-1, empty, pause)) // other frames tell it as well
	is.True(n.due(now+pause, empty, pause))
}

// An entry forgets the owner of a shard that has answered that it is none. It hears
// of the owner again with the agent's next frames, also when nothing has changed.
func TestOwnedShardsAreToldAgain(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	var n news
	is.True(n.told(now, loadLevel{}))
	is.True(!n.told(now+ownedEvery-1, loadLevel{}))
	is.True(n.told(now+ownedEvery, loadLevel{}))
	n.ownersChanged()
	is.True(n.told(now+ownedEvery+1, loadLevel{}))
}
