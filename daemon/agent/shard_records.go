package agent

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// shardRecords is what the store has of a shard.
type shardRecords struct {
	jobs []*job.Record
	// agents may have runs of the shard, and incarnations has those of their incarnations that may.
	agents       []string
	incarnations map[string][]worker.Incarnation
}

// readRecords reads the records of a shard from the store. A job record that can't be decoded is
// skipped.
func (r *shardRunner) readRecords(ctx context.Context) (shardRecords, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*core.StoreTimeout)
	defer cancel()
	raw, _, err := r.agent.store.Newest(ctx, r.partition)
	if err != nil {
		return shardRecords{}, errors.Wrap(err, "load the records of the shard")
	}
	var out shardRecords
	for _, rec := range raw {
		switch rec.Key {
		case agentsKey:
			if out.agents, err = r.decodeAgents(ctx, rec.Value); err != nil {
				return shardRecords{}, err
			}
		case incarnationsKey:
			out.incarnations = r.decodeIncarnations(rec.Value)
		default:
			j, err := wire.DecodeRecord(job.ID(rec.Key), rec.Value)
			if err != nil {
				metrics.Malformed(metrics.KindJobRecord)
				klog.ErrorS(err, "Skipping a job record that can't be decoded", "shard", r.partition)
				continue
			}
			out.jobs = append(out.jobs, j)
		}
	}
	return out, nil
}

// decodeAgents returns the listed agents, or all that have ever registered if the list can't be
// decoded.
func (r *shardRunner) decodeAgents(ctx context.Context, value []byte) ([]string, error) {
	var agents []string
	if err := json.Unmarshal(value, &agents); err != nil {
		metrics.Malformed(metrics.KindAgents)
		klog.ErrorS(err, "Can't decode the agents of a shard; using all agents that have ever registered", "shard", r.partition)
		return r.registeredAgents(ctx)
	}
	return agents, nil
}

// storedIncarnation is an entry of the stored list of incarnations.
type storedIncarnation struct {
	Agent     string `json:"agent"`
	Server    string `json:"server,omitempty"`
	StartedMS int64  `json:"started_ms,omitempty"`
}

func encodeIncarnations(incarnations map[string][]worker.Incarnation) ([]byte, error) {
	stored := make(map[string][]storedIncarnation, len(incarnations))
	for node, list := range incarnations {
		for _, i := range list {
			stored[node] = append(stored[node], storedIncarnation{Agent: i.Agent, Server: i.Server.ID, StartedMS: i.Server.StartedMS})
		}
	}
	value, err := json.Marshal(stored)
	return value, errors.Wrap(err, "encode the incarnations of the shard's agents")
}

// unreadableIncarnation stands for an incarnation that can't be decoded. No agent answers under it, so none
// counts as knowing its runs.
var unreadableIncarnation = worker.Incarnation{Agent: "\x00unreadable"}

// decodeIncarnations decodes the list of incarnations. Without a list that can be decoded, agents
// count as knowing all runs that earlier owners have ordered at them.
func (r *shardRunner) decodeIncarnations(value []byte) map[string][]worker.Incarnation {
	var stored map[string][]json.RawMessage
	if err := json.Unmarshal(value, &stored); err != nil {
		metrics.Malformed(metrics.KindAgents)
		klog.ErrorS(err, "Can't decode the incarnations of a shard's agents", "shard", r.partition)
		return nil
	}
	out := make(map[string][]worker.Incarnation, len(stored))
	for node, list := range stored {
		for _, raw := range list {
			out[node] = append(out[node], r.decodeIncarnation(raw))
		}
	}
	return out
}

func (r *shardRunner) decodeIncarnation(raw json.RawMessage) worker.Incarnation {
	var i storedIncarnation
	if err := json.Unmarshal(raw, &i); err != nil {
		metrics.Malformed(metrics.KindAgents)
		klog.ErrorS(err, "Can't decode an incarnation of a shard's agents", "shard", r.partition)
		return unreadableIncarnation
	}
	return worker.Incarnation{Agent: i.Agent, Server: job.Instance{ID: i.Server, StartedMS: i.StartedMS}}
}

// registeredAgents returns the names of all agents that have ever registered. No other agent can
// have runs of a shard.
func (r *shardRunner) registeredAgents(ctx context.Context) ([]string, error) {
	registered, _, err := r.agent.store.Newest(ctx, core.RegistryPartition)
	if err != nil {
		return nil, errors.Wrap(err, "read the registered agents")
	}
	names := make([]string, 0, len(registered))
	for _, reg := range registered {
		names = append(names, reg.Key)
	}
	return names, nil
}
