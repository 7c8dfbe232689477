package home

import "time"

// maxExpected bounds what a declared run time adds to the patience: with a far too
// long one, a lost message would hold up the job for as long.
const maxExpected = 15 * time.Second

// patience is how long an agent may be silent about tasks: well beyond the
// longest run seen of late and the run to expect of the tasks, because a running
// task makes no messages.
func (p *pool) patience(expected time.Duration) time.Duration {
	return max(p.o.Resend, 2*p.longest, 2*min(expected, maxExpected))
}
