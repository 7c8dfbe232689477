package worker

import "time"

const (
	// leastPatience with a start covers the pauses of a small host's processor, most
	// of them below 10 ms.
	leastPatience = 20 * time.Millisecond
	// mostPatience with a start is what an idle backend server on a host that is
	// several times slower needs.
	mostPatience = 80 * time.Millisecond
	// patienceDeviations of the mean are added to it, as for retransmissions in TCP.
	patienceDeviations = 4
	// patienceWeight is the weight of one answer: about the last ten count.
	patienceWeight = 0.1
)

// answerTimes tells how long to wait for an answer beyond the time that a call is to
// take, by how long the answers to starts took. A backend server that leaves a start
// unanswered may still carry it out seconds later, and until it is barred the task
// waits; a list that is left unanswered hides all ends. With a fixed 80 ms for the one
// and 50 to 90 ms for the other, jobs that may take 150 ms in all were late for
// certain. A start that was only slow is shown by the next list, so giving up too
// early costs one more call and a connection.
type answerTimes struct {
	mean, deviation time.Duration
}

func (a *answerTimes) learn(took time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = took, took/2
		return
	}
	off := took - a.mean
	a.mean += time.Duration(patienceWeight * float64(off))
	a.deviation += time.Duration(patienceWeight * float64(max(off, -off)-a.deviation))
}

// missed notes that no answer came in time. Without it a server that has turned slow
// would never be heard in time again: only answers tell that they take longer.
func (a *answerTimes) missed() {
	a.deviation = max(a.deviation+a.deviation/2, leastPatience/10)
}

// patience is how long to wait for the next answer.
func (a *answerTimes) patience() time.Duration {
	if a.mean == 0 {
		return mostPatience
	}
	return min(max(a.mean+patienceDeviations*a.deviation, leastPatience), mostPatience)
}
