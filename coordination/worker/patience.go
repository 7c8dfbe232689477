package worker

import "time"

const (
	// leastPatience is the minimum response timeout of a start. It covers the scheduling pauses of
	// a small host, most of which are below 10 ms.
	minResponseTimeout = 20 * time.Millisecond
	// mostPatience is the maximum response timeout of a start. An idle backend server on a host
	// that is several times slower needs as long.
	maxResponseTimeout = 80 * time.Millisecond
	// patienceDeviations is the number of deviations added to the mean, as for the retransmission
	// timeout of TCP.
	timeoutDeviations = 4
	// patienceWeight is the weight of one answer in the moving averages. About the last ten answers
	// count.
	responseTimeWeight = 0.1
)

// answerTimes derives the response timeout of calls to the backend server from the time that the
// answers to starts take. The timeout comes on top of the time that the call itself may wait.
//
// A backend server that doesn't answer a start may still carry it out seconds later, and the task
// waits until the start is barred; a list that is lost hides all ends. With fixed timeouts of 80 ms
// for starts and 50 to 90 ms for lists, jobs with a deadline of 150 ms were always late. A start
// that was merely slow shows up in the next list, so a timeout that is too short costs only one
// more call and a connection.
type responseTimes struct {
	mean, deviation time.Duration
}

func (a *responseTimes) observe(took time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = took, took/2
		return
	}
	off := took - a.mean
	a.mean += time.Duration(responseTimeWeight * float64(off))
	a.deviation += time.Duration(responseTimeWeight * float64(max(off, -off)-a.deviation))
}

// missed records that no answer came in time. The timeout has to grow then: the agent learns only
// from answers, so the answers of a server that has become slow would otherwise always come too
// late.
func (a *responseTimes) timedOut() {
	a.deviation = max(a.deviation+a.deviation/2, minResponseTimeout/10)
}

// patience returns the response timeout for the next call.
func (a *responseTimes) timeout() time.Duration {
	if a.mean == 0 {
		return maxResponseTimeout
	}
	return min(max(a.mean+timeoutDeviations*a.deviation, minResponseTimeout), maxResponseTimeout)
}
