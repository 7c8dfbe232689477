package platformlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination"
)

const (
	// pollWait is how long one read waits for a record. A longer one saves
	// messages but leaves a silently dead connection unnoticed for longer.
	pollWait = 20 * time.Second
	// firstBackoff and maxBackoff bound the pause after failed reads. The
	// longest one plus a long poll stays below the 5 s a change may take once
	// the service is back: a poll that waits costs nothing then.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 3 * time.Second
	// minPause keeps a service that answers empty at once from being flooded.
	minPause = 50 * time.Millisecond
	// quickPoll is how soon an empty answer counts as "at once".
	quickPoll = pollWait / 4
)

// Gone tells a follower that it missed records.
type Gone struct {
	// From is the offset that was to be read next.
	From int64
	// First is the lowest offset that can still be read; following goes on
	// from there.
	First int64
}

// Events are what a follower is told, one call at a time. OnFailure may be nil.
type Events struct {
	// OnBatch gets each read, also an empty one, and when the read began.
	OnBatch func(b Batch, began time.Time)
	// OnGone says that records were missed.
	OnGone func(Gone)
	// OnFailure says that a read failed; it is tried again.
	OnFailure func(error)
}

// Follow reads a stream from an offset on until the context ends, and returns
// the context's error.
//
// The first read, and the first after a failure, do not wait for a record: a
// node that has just come up, or that has lost a reply, needs to know at once
// what the log holds, and an empty or quiet stream would keep it waiting for a
// whole long poll.
//
// A stream that ends before the offset (the service lost records that it had
// confirmed) is retried forever and counted as "beyond_end": starting over by
// itself would let a wrong service revert what is in force.
func (c *Client) Follow(ctx context.Context, stream coordination.Stream, from int64, ev Events) error {
	backoff := firstBackoff
	wait := time.Duration(0)
	for ctx.Err() == nil {
		began := time.Now()
		batch, err := c.Read(ctx, stream, from, wait)
		var gone *ErrGone
		switch {
		case err == nil:
			backoff = firstBackoff
			from = batch.Next
			ev.OnBatch(batch, began)
			if wait > 0 && len(batch.Records) == 0 && time.Since(began) < quickPoll {
				pause(ctx, minPause)
			}
			wait = pollWait
		case errors.As(err, &gone):
			ev.OnGone(Gone{From: from, First: gone.First})
			from = gone.First
		case ctx.Err() == nil:
			if ev.OnFailure != nil {
				ev.OnFailure(err)
			}
			c.retry(ctx, stream, err, backoff)
			backoff = min(2*backoff, maxBackoff)
			wait = 0
		}
	}
	return ctx.Err()
}

func (c *Client) retry(ctx context.Context, stream coordination.Stream, err error, backoff time.Duration) {
	reason := readResult(Batch{}, err)
	c.metrics.retries.WithLabelValues(string(stream), reason).Inc()
	klog.V(1).InfoS("Reading the log failed, retrying", "stream", stream, "reason", reason, "err", err)
	c.works.await(ctx, stream, jitter(backoff))
}

// jitter spreads a pause over [d/2, d), so that all daemons don't come back at
// once when the service does.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
