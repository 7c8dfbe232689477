package entry

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/owner"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// callOwner sends a request to the shard's owner, and again to the next owner if this one
// does not answer or no longer owns the shard. Requests are idempotent because jobs are
// identified by their IDs. callOwner gives up when no owner is found for searchTimeout, or
// when ctx ends.
func (e *Entry) callOwner(ctx context.Context, shard int, searchTimeout time.Duration, call func(context.Context, corepb.CoreClient) (*corepb.Verdict, error)) owner.Response {
	// sent is set once an owner may have accepted the request.
	sent := false
	searchStart := time.Now()
	for {
		node, client := e.findOwner(ctx, shard)
		if client == nil {
			if time.Since(searchStart) > searchTimeout || ctx.Err() != nil {
				return noOwnerResponse(sent)
			}
			_ = pause.For(ctx, ownerPollInterval)
			continue
		}
		p, err := call(ctx, client)
		if err == nil {
			v := wire.ResponseFromWire(p)
			if v.Outcome == owner.Refused && sent {
				// The owner that may have accepted the job may be newer than this one.
				return noOwnerResponse(sent)
			}
			if v.Outcome != owner.NotOwner && v.Outcome != owner.Unknown {
				return v
			}
			e.metrics.Retries.WithLabelValues(v.Reason).Inc()
			sent = sent || v.Outcome == owner.Unknown
			e.owners.forget(shard, node)
			_ = pause.For(ctx, ownerPollInterval)
			searchStart = time.Now()
			continue
		}
		if ctx.Err() != nil {
			return timeLimitResponse()
		}
		code := status.Code(err)
		e.metrics.Retries.WithLabelValues("link_" + code.String()).Inc()
		klog.InfoS("A request to an owner got no answer", "shard", shard, "agent", node, "code", code.String())
		sent = true
		e.owners.forget(shard, node)
		searchStart = time.Now()
	}
}

// timeLimitResponse returns the response to a request whose time limit has passed. The job
// may have been accepted.
func timeLimitResponse() owner.Response {
	return owner.Response{Outcome: owner.Unknown, Reason: owner.ReasonTimeLimit, RetryAfter: time.Second}
}

// noOwnerResponse returns the response to a request that no owner has answered. It is a
// refusal unless an owner may have accepted the request.
func noOwnerResponse(sent bool) owner.Response {
	if sent {
		return owner.Response{Outcome: owner.Unknown, Reason: owner.ReasonOwnerLost, RetryAfter: time.Second}
	}
	return owner.Response{Outcome: owner.Refused, Reason: owner.ReasonNoOwner, RetryAfter: time.Second}
}

// Submit forwards a job to its owner. The entry runs a best-effort job itself.
func (e *Entry) Submit(ctx context.Context, id job.ID, spec *job.Spec, p *job.Policy) owner.Response {
	began := time.Now()
	shard := id.Shard(e.settings.Shards())
	m := &corepb.Submission{Shard: int32(shard), Id: string(id), Spec: wire.SpecToWire(spec), Policy: wire.PolicyToWire(p)}
	var v owner.Response
	if spec.BestEffort {
		v = e.submitBestEffort(ctx, id, spec, p)
	} else {
		v = e.callOwner(ctx, shard, submitSearchTimeout(spec, p), func(ctx context.Context, c corepb.CoreClient) (*corepb.Verdict, error) {
			return c.Submit(ctx, m)
		})
	}
	took := time.Since(began)
	e.metrics.Submit.Observe(took.Seconds())
	e.metrics.CountResponse(v)
	if v.Outcome == owner.OK {
		e.firstServed.Do(e.recordFirstJob)
	}
	klog.InfoS("Submit", "id", id, "queue", p.Queue, "version", p.Version, "shard", shard, "best_effort", spec.BestEffort,
		"patience", clientTimeout(ctx, began).Milliseconds(), "outcome", v.Outcome, "reason", v.Reason, "retry_after", v.RetryAfter.Milliseconds(), "took", took.Milliseconds())
	return v
}

// recordFirstJob records how long this process took until it served a job, and whose configuration
// that was.
func (e *Entry) recordFirstJob() {
	source := sourceOf(e.toldUntil.Get())
	took := bootclock.Now() - e.started
	e.metrics.RecordFirstJob(source, took)
	klog.InfoS("Served the first job", "since_start", took, "configuration", source)
}

// clientTimeout returns the time from at until the client stops waiting. Zero means that it
// has no time limit.
func clientTimeout(ctx context.Context, at time.Time) time.Duration {
	if end, ok := ctx.Deadline(); ok {
		return end.Sub(at)
	}
	return 0
}

// submitSearchTimeout returns how long a submission searches for the job's owner. The latency
// objective is taken as if the steps ran one after another.
func submitSearchTimeout(spec *job.Spec, p *job.Policy) time.Duration {
	objective := p.Target
	for i := range spec.Steps {
		objective += time.Duration(max(p.Slack, 1) * float64(spec.Steps[i].Estimate))
	}
	return time.Duration(submitSearchShare * float64(objective))
}

// Lookup returns a job's state.
func (e *Entry) Lookup(ctx context.Context, id job.ID) owner.Response {
	began := time.Now()
	shard := id.Shard(e.settings.Shards())
	v := e.callOwner(ctx, shard, ownerSearchTimeout, func(ctx context.Context, c corepb.CoreClient) (*corepb.Verdict, error) {
		return c.Lookup(ctx, &corepb.Question{Shard: int32(shard), Id: string(id)})
	})
	e.metrics.Lookup.Observe(time.Since(began).Seconds())
	if v.Outcome != owner.OK {
		klog.InfoS("Lookup", "id", id, "shard", shard, "outcome", v.Outcome, "reason", v.Reason)
	}
	return v
}

// Await waits until a job has ended and returns its result.
func (e *Entry) Await(ctx context.Context, id job.ID) owner.Response {
	shard := id.Shard(e.settings.Shards())
	return e.callOwner(ctx, shard, awaitSearchTimeout, func(ctx context.Context, c corepb.CoreClient) (*corepb.Verdict, error) {
		return c.Await(ctx, &corepb.Question{Shard: int32(shard), Id: string(id)})
	})
}

// Cancel cancels a job.
func (e *Entry) Cancel(ctx context.Context, id job.ID) owner.Response {
	shard := id.Shard(e.settings.Shards())
	v := e.callOwner(ctx, shard, ownerSearchTimeout, func(ctx context.Context, c corepb.CoreClient) (*corepb.Verdict, error) {
		return c.Cancel(ctx, &corepb.Question{Shard: int32(shard), Id: string(id)})
	})
	klog.InfoS("Cancel", "id", id, "shard", shard, "outcome", v.Outcome, "reason", v.Reason)
	return v
}

// Pending returns the number of a queue's accepted jobs of which no task has started, over
// all shards. It returns false if the owner of a shard was not found within ownerSearchTimeout,
// or has not counted the shard, so that the number may be too low.
func (e *Entry) Pending(ctx context.Context, queue string) (int, bool) {
	e.owners.useAll(bootclock.Now())
	e.links.Reconcile(bootclock.Now())
	uncounted := make(map[int]bool)
	for shard := range e.settings.Shards() {
		uncounted[shard] = true
	}
	total := 0
	for began := time.Now(); ; {
		total += e.countPending(ctx, queue, uncounted)
		if len(uncounted) == 0 {
			return total, true
		}
		if ctx.Err() != nil || time.Since(began) > ownerSearchTimeout {
			e.metrics.Retries.WithLabelValues(reasonCountIncomplete).Inc()
			return total, false
		}
		_ = pause.For(ctx, ownerPollInterval)
	}
}

// reasonCountIncomplete is the reason for an answer without the number of pending jobs.
const reasonCountIncomplete = "count_incomplete"

// countPending asks the owners of shards that are not counted yet. It returns the jobs of those that
// they have counted, and removes these shards.
func (e *Entry) countPending(ctx context.Context, queue string, uncounted map[int]bool) int {
	questions := make(map[string]*corepb.Question)
	clients := make(map[string]corepb.CoreClient)
	for shard := range uncounted {
		node, client := e.findOwner(ctx, shard)
		if client == nil {
			continue
		}
		if questions[node] == nil {
			questions[node], clients[node] = &corepb.Question{Queue: queue}, client
		}
		questions[node].Shards = append(questions[node].Shards, int32(shard))
	}
	total := 0
	for node, q := range questions {
		p, err := clients[node].Pending(ctx, q)
		if err != nil {
			klog.InfoS("An owner did not return its number of pending jobs", "agent", node, "err", err)
		}
		v := wire.ResponseFromWire(p)
		if len(v.Counted) > 0 {
			total += v.Count
		}
		for _, shard := range wire.ShardsFromWire(q.GetShards()) {
			if slices.Contains(v.Counted, shard) {
				delete(uncounted, shard)
				continue
			}
			// It is still being opened there, or has another owner by now.
			e.owners.forgetAssigned(shard, node)
		}
	}
	return total
}
