package backendclient

import (
	"context"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

const (
	// askWait is how long one ask waits for the end of a running task.
	askWait = time.Second
	// askPause is the least time between two asks about a running task, for
	// backend servers that answer without waiting.
	askPause = 50 * time.Millisecond
	// askTries is how many asks in a row may fail before the result is given
	// up as unknown. The pause doubles from askPause.
	askTries = 4
	// askTimeout bounds one ask.
	askTimeout = askWait + 2*time.Second
	// barWindow is how long after the start of a run a "barred" is believed.
	// Backend servers remember what they ran for wire.RememberFor; after that
	// a forgotten task looks like one that never came.
	barWindow = wire.RememberFor / 2
	// abandonTimeout bounds the stop of a task that nobody waits for.
	abandonTimeout = time.Second
)

// resolve asks the backend server what became of a task whose answer was lost.
//
// The failure: a connection breaks after the request was written. The request
// may have been lost, may still lie in a socket buffer, or may have started
// the task. Reporting a failure would throw a finished result away; trying
// again could run the task twice. Asking settles it: "running" and "done" are
// facts, and "barred" is the backend server's promise that the request will
// not start anything if it arrives yet. A bare "unknown" proves nothing.
func (t *try) resolve(ctx context.Context, cause error) Result {
	failures := 0
	pause := askPause
	for {
		res, verdict, err := t.ask(ctx)
		switch {
		case verdict == askSettled:
			t.client.metrics.asks.WithLabelValues("settled").Inc()
			return res
		case verdict == askRunning:
			t.client.metrics.asks.WithLabelValues("running").Inc()
			failures, pause = 0, askPause
		default:
			t.client.metrics.asks.WithLabelValues("failed").Inc()
			failures++
			pause *= 2
			if failures == askTries || verdict == askHopeless {
				return unknown(state.ReasonAgentLost, errors.WithMessagef(cause, "asking failed (%v)", err))
			}
		}
		if !sleep(ctx, pause) {
			return unknown(state.ReasonAgentLost, cause)
		}
	}
}

// askVerdict says what an ask has brought.
type askVerdict uint8

const (
	askFailed askVerdict = iota
	askRunning
	askSettled
	// askHopeless means that asking again cannot bring more.
	askHopeless
)

func (t *try) ask(ctx context.Context) (Result, askVerdict, error) {
	wait := "?wait_ms=" + strconv.FormatInt(milliseconds(askWait), 10)
	st, err := t.taskCall(ctx, http.MethodGet, taskPath(t.id)+wait)
	if err == nil && st.State == wire.TaskUnknown {
		st, err = t.taskCall(ctx, http.MethodPost, taskPath(t.id)+"/"+wire.VerbBar)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		// Nobody listens: the process that could tell has gone.
		return Result{}, askHopeless, err
	case err != nil:
		return Result{}, askFailed, err
	}
	return t.settle(st)
}

// settle turns the backend server's word on the task into a result.
func (t *try) settle(st wire.TaskState) (Result, askVerdict, error) {
	switch {
	case st.BackendID != t.backend.ID:
		// A restarted backend server knows nothing of what its predecessor ran.
		return Result{}, askHopeless, errors.Errorf("backend server %q answers instead", st.BackendID)
	case st.State == wire.TaskRunning:
		return Result{}, askRunning, nil
	case st.State == wire.TaskDone && st.Problem != nil:
		return t.failed(*st.Problem), askSettled, nil
	case st.State == wire.TaskDone && st.Result != nil:
		return t.succeeded(*st.Result), askSettled, nil
	case st.State == wire.TaskBarred && time.Since(t.begun) < barWindow:
		return notStarted(state.ReasonNoBackend, nil), askSettled, nil
	}
	return Result{}, askHopeless, errors.Errorf("backend server says %q", st.State)
}

func (t *try) taskCall(ctx context.Context, method, path string) (wire.TaskState, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var st wire.TaskState
	err := t.client.call(ctx, t.link, method, path, nil, &st)
	return st, err
}

// abandon stops a task whose result has come too late to be of use, so that it
// does not hold a slot that the agent counts as free.
func (t *try) abandon() {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	_, err := t.taskCall(ctx, http.MethodPost, taskPath(t.id)+"/"+string(coordination.VerbStop))
	if err != nil {
		t.client.metrics.controlFailures.WithLabelValues("abandon").Inc()
	}
}

// sleep waits and returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
