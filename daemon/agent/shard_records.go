package agent

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/daemon/core"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// load reads what the store has of a shard: its jobs, and the agents that may have runs
// of it.
func (r *shardRunner) readRecords(ctx context.Context) ([]*job.Record, []string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*core.StoreTimeout)
	defer cancel()
	raw, _, err := r.agent.store.Newest(ctx, r.partition)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load")
	}
	var records []*job.Record
	var agents []string
	for _, rec := range raw {
		if rec.Key == agentsKey {
			if err := json.Unmarshal(rec.Value, &agents); err != nil {
				metrics.Malformed(metrics.KindAgents)
				klog.ErrorS(err, "The agents of a shard can't be read; all that have ever registered are asked", "shard", r.partition)
				if agents, err = r.registeredAgents(ctx); err != nil {
					return nil, nil, err
				}
			}
			continue
		}
		j, err := wire.DecodeRecord(job.ID(rec.Key), rec.Value)
		if err != nil {
			metrics.Malformed(metrics.KindJobRecord)
			klog.ErrorS(err, "A record can't be read and is left out", "shard", r.partition)
			continue
		}
		records = append(records, j)
	}
	return records, agents, nil
}

// everyAgent names all agents that may have runs of any shard.
func (r *shardRunner) registeredAgents(ctx context.Context) ([]string, error) {
	registered, _, err := r.agent.store.Newest(ctx, core.RegistryPartition)
	if err != nil {
		return nil, errors.Wrap(err, "agents")
	}
	names := make([]string, 0, len(registered))
	for _, reg := range registered {
		names = append(names, reg.Key)
	}
	return names, nil
}
