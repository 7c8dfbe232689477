package entry

import (
	"context"
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

// ask puts a question to the shard's owner, and again to the next owner when it
// changes. Asking twice is safe: jobs are known by their IDs. It gives up when
// no owner is found for patience, or when the context ends.
func (e *Entry) ask(ctx context.Context, shard int, patience time.Duration, call func(context.Context, corepb.CoreClient) (*corepb.Verdict, error)) owner.Response {
	// sent is set once an owner may have taken the question in.
	sent := false
	searching := time.Now()
	for {
		node, client := e.owner(ctx, shard)
		if client == nil {
			if time.Since(searching) > patience || ctx.Err() != nil {
				return unserved(sent)
			}
			_ = pause.For(ctx, ownerPoll)
			continue
		}
		p, err := call(ctx, client)
		if err == nil {
			v := wire.VerdictFromWire(p)
			if v.Outcome != owner.NotOwner && v.Outcome != owner.Unknown {
				return v
			}
			e.metrics.Retries.WithLabelValues(v.Reason).Inc()
			sent = sent || v.Outcome == owner.Unknown
			e.owners.forget(shard, node)
			_ = pause.For(ctx, ownerPoll)
			searching = time.Now()
			continue
		}
		if ctx.Err() != nil {
			return timedOut()
		}
		code := status.Code(err)
		e.metrics.Retries.WithLabelValues("link_" + code.String()).Inc()
		klog.InfoS("A question got no answer", "shard", shard, "agent", node, "code", code.String())
		sent = true
		e.owners.forget(shard, node)
		searching = time.Now()
	}
}

// timedOut is the verdict when the client's time limit has passed.
func timedOut() owner.Response {
	return owner.Response{Outcome: owner.Unknown, Reason: owner.ReasonTimeLimit, RetryAfter: time.Second}
}

// unserved is the verdict when no owner has answered.
func unserved(sent bool) owner.Response {
	if sent {
		return owner.Response{Outcome: owner.Unknown, Reason: owner.ReasonOwnerLost, RetryAfter: time.Second}
	}
	return owner.Response{Outcome: owner.Refused, Reason: owner.ReasonNoOwner, RetryAfter: time.Second}
}

// Submit hands a job to its owner.
func (e *Entry) Submit(ctx context.Context, id job.ID, spec *job.Spec, p *job.Policy) owner.Response {
	began := time.Now()
	shard := id.Shard(e.settings.Shards())
	m := &corepb.Submission{Shard: int32(shard), Id: string(id), Spec: wire.SpecToWire(spec), Policy: wire.PolicyToWire(p)}
	var v owner.Response
	if spec.BestEffort {
		v = e.submitEffort(ctx, id, spec, p)
	} else {
		v = e.ask(ctx, shard, patience(spec, p), func(ctx context.Context, c corepb.CoreClient) (*corepb.Verdict, error) {
			return c.Submit(ctx, m)
		})
	}
	took := time.Since(began)
	e.metrics.Submit.Observe(took.Seconds())
	e.metrics.CountResponse(v)
	klog.InfoS("Submit", "id", id, "queue", p.Queue, "version", p.Version, "shard", shard, "best_effort", spec.BestEffort,
		"patience", patienceLeft(ctx, began).Milliseconds(), "outcome", v.Outcome, "reason", v.Reason, "retry_after", v.RetryAfter.Milliseconds(), "took", took.Milliseconds())
	return v
}

// patienceLeft is how long a client was going to wait at a time; zero: without end.
func patienceLeft(ctx context.Context, at time.Time) time.Duration {
	if end, ok := ctx.Deadline(); ok {
		return end.Sub(at)
	}
	return 0
}

func patience(spec *job.Spec, p *job.Policy) time.Duration {
	objective := p.Target
	for i := range spec.Steps {
		objective += time.Duration(max(p.Slack, 1) * float64(spec.Steps[i].Estimate))
	}
	return time.Duration(refuseAfter * float64(objective))
}

// Lookup asks for a job's state.
func (e *Entry) Lookup(ctx context.Context, id job.ID) owner.Response {
	began := time.Now()
	shard := id.Shard(e.settings.Shards())
	v := e.ask(ctx, shard, ownerWait, func(ctx context.Context, c corepb.CoreClient) (*corepb.Verdict, error) {
		return c.Lookup(ctx, &corepb.Question{Shard: int32(shard), Id: string(id)})
	})
	e.metrics.Lookup.Observe(time.Since(began).Seconds())
	if v.Outcome != owner.OK {
		klog.InfoS("Lookup", "id", id, "shard", shard, "outcome", v.Outcome, "reason", v.Reason)
	}
	return v
}

// Await asks for what a job has come to, when it has ended.
func (e *Entry) Await(ctx context.Context, id job.ID) owner.Response {
	shard := id.Shard(e.settings.Shards())
	return e.ask(ctx, shard, awaitPatience, func(ctx context.Context, c corepb.CoreClient) (*corepb.Verdict, error) {
		return c.Await(ctx, &corepb.Question{Shard: int32(shard), Id: string(id)})
	})
}

// Cancel ends a job.
func (e *Entry) Cancel(ctx context.Context, id job.ID) owner.Response {
	shard := id.Shard(e.settings.Shards())
	v := e.ask(ctx, shard, ownerWait, func(ctx context.Context, c corepb.CoreClient) (*corepb.Verdict, error) {
		return c.Cancel(ctx, &corepb.Question{Shard: int32(shard), Id: string(id)})
	})
	klog.InfoS("Cancel", "id", id, "shard", shard, "outcome", v.Outcome, "reason", v.Reason)
	return v
}

// Pending counts a queue's accepted jobs of which no task has started, over all owners.
// It is false when an owner did not answer.
func (e *Entry) Pending(ctx context.Context, queue string) (int, bool) {
	owners, complete := e.linkedOwners(ctx)
	total := 0
	for node, client := range owners {
		p, err := client.Pending(ctx, &corepb.Question{Queue: queue})
		if err != nil {
			klog.InfoS("An owner did not count", "agent", node, "err", err)
			complete = false
			continue
		}
		total += int(p.GetCount())
	}
	return total, complete
}

// linkedOwners returns the owners of all shards, once all are linked or ownerWait has
// passed, and whether all are.
func (e *Entry) linkedOwners(ctx context.Context) (map[string]corepb.CoreClient, bool) {
	e.owners.useAll(bootclock.Now())
	e.links.Reconcile(bootclock.Now())
	for began := time.Now(); ; {
		out := make(map[string]corepb.CoreClient)
		complete := true
		for shard := range e.settings.Shards() {
			node, client := e.owner(ctx, shard)
			if client == nil {
				complete = false
				continue
			}
			out[node] = client
		}
		if complete || ctx.Err() != nil || time.Since(began) > ownerWait {
			return out, complete
		}
		_ = pause.For(ctx, ownerPoll)
	}
}
