package roster

import "github.com/shallotstep/shallotstep/state"

// The kinds of records that change nothing. A reader that doesn't know them
// takes them for bad records, which have no effect either, so its roster is the
// same.
const (
	KindSuspect Kind = "suspect"
	KindAlive   Kind = "alive"
)

// Suspect asks a whole silent group of a region for a sign of life, by way of
// the log. It has no effect on the roster.
type Suspect struct {
	Region string
	// Group is a failure domain; in a region with one domain, a rack.
	Group string
	By    state.NodeID
}

// Alive is a sign of life of the writer's group: its answer to Suspect. It has
// no effect on the roster.
type Alive struct{ By state.NodeID }

func (Suspect) kind() Kind { return KindSuspect }
func (Alive) kind() Kind   { return KindAlive }

func (r Suspect) check() bool { return r.Region != "" && r.By != "" }
func (r Alive) check() bool   { return r.By != "" }
