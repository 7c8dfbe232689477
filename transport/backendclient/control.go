package backendclient

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

const (
	// controlTimeout bounds one control call.
	controlTimeout = 2 * time.Second
	// controlTries is how often a control call is sent. Every verb is
	// idempotent, so one whose reply was lost may go again.
	controlTries = 2
)

// ErrNotRunning is the error of Control for a task that this client is not
// running, most often because it has just ended.
var ErrNotRunning = errors.New("the task is not running")

// Control asks the backend server to stop, throttle or checkpoint a task that
// Run is waiting for. Run returns the task's end, as always. A stop that comes
// before the request to start has arrived keeps the task from starting.
func (c *Client) Control(ctx context.Context, b state.Backend, task state.TaskKey, verb coordination.Verb) error {
	id, ok := c.lookup(task)
	if !ok || id.backend != b.ID {
		return ErrNotRunning
	}
	path := taskPath(id.task) + "/" + string(verb)
	var st wire.TaskState
	err := c.repeat(ctx, func(ctx context.Context) error {
		return c.call(ctx, c.link(b), http.MethodPost, path, nil, &st)
	})
	if err != nil {
		c.metrics.controlFailures.WithLabelValues(string(verb)).Inc()
		return errors.Wrapf(err, "%s task", verb)
	}
	return nil
}

// RenewLeases renews the leases of every task that runs on the backend server,
// in one message, and returns those that the backend server does not run: they
// ended or lapsed, or their start has not arrived yet. The verdict on each is
// still Run's to give. Nothing is sent when nothing runs.
func (c *Client) RenewLeases(ctx context.Context, b state.Backend) ([]state.TaskKey, error) {
	tasks := c.runningOn(b.ID)
	if len(tasks) == 0 {
		return nil, nil
	}
	req := wire.LeaseRequest{LeaseMS: milliseconds(c.opts.Lease)}
	for id := range tasks {
		req.TaskIDs = append(req.TaskIDs, id)
	}
	var reply wire.LeaseReply
	err := c.repeat(ctx, func(ctx context.Context) error {
		return c.call(ctx, c.link(b), http.MethodPost, wire.LeasesPath, req, &reply)
	})
	if err != nil {
		c.metrics.controlFailures.WithLabelValues("lease").Inc()
		return nil, errors.Wrap(err, "renew leases")
	}
	var out []state.TaskKey
	for _, id := range reply.NotRunning {
		if task, ok := tasks[id]; ok {
			out = append(out, task)
		}
	}
	return out, nil
}

// runningOn returns the runs in progress on a backend server by their task ID.
func (c *Client) runningOn(backend string) map[string]state.TaskKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]state.TaskKey)
	for task, id := range c.running {
		if id.backend == backend {
			out[id.task] = task
		}
	}
	return out
}

// Usage returns the usage lines after since, and the since of the next call.
// Start at zero for each backend server ID.
func (c *Client) Usage(ctx context.Context, b state.Backend, since uint64) ([]state.Usage, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var reply wire.UsageReply
	path := wire.UsagePath + "?since=" + strconv.FormatUint(since, 10)
	if err := c.call(ctx, c.link(b), http.MethodGet, path, nil, &reply); err != nil {
		c.metrics.controlFailures.WithLabelValues("usage").Inc()
		return nil, since, errors.Wrap(err, "read usage")
	}
	out := make([]state.Usage, 0, len(reply.Lines))
	for _, line := range reply.Lines {
		out = append(out, usageFrom(line))
	}
	return out, reply.Next, nil
}

func usageFrom(line wire.UsageLine) state.Usage {
	return state.Usage{
		Task:         state.TaskKey{Job: state.JobKey{Service: line.Service, ID: line.Job}, Index: line.Index},
		Cores:        line.Cores,
		MemoryMB:     line.MemoryMB,
		Accelerators: line.Accelerators,
		Ran:          fromMilliseconds(line.RanMS),
		Done:         line.Done,
	}
}

// repeat makes a control call and makes it again if it fails without an answer.
func (c *Client) repeat(ctx context.Context, call func(context.Context) error) error {
	var err error
	for range controlTries {
		err = withTimeout(ctx, controlTimeout, call)
		var answered *StatusError
		if err == nil || errors.As(err, &answered) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func withTimeout(ctx context.Context, d time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return call(ctx)
}
