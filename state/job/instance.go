package job

import "strconv"

// Instance is one incarnation of a backend server. A server may start again under its ID; it then
// holds no runs, and its clock and all its numbers start anew.
type Instance struct {
	ID string
	// StartedMS is when the incarnation started, in Unix milliseconds of the server's clock. It is
	// zero if the server does not tell its incarnations apart.
	StartedMS int64
}

// Precedes reports whether i is an earlier incarnation than o under the same ID.
func (i Instance) Precedes(o Instance) bool { return i.ID == o.ID && i.StartedMS < o.StartedMS }

// String returns the ID, with the start time if it is known.
func (i Instance) String() string {
	if i.StartedMS == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.StartedMS, 10)
}
