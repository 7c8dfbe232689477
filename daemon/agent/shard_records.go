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

// readRecords reads the records of a shard from the store. It returns the jobs and the agents that
// may have runs of the shard. A job record that can't be decoded is skipped.
func (r *shardRunner) readRecords(ctx context.Context) ([]*job.Record, []string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*core.StoreTimeout)
	defer cancel()
	raw, _, err := r.agent.store.Newest(ctx, r.partition)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load the records of the shard")
	}
	var records []*job.Record
	var agents []string
	for _, rec := range raw {
		if rec.Key == agentsKey {
			if err := json.Unmarshal(rec.Value, &agents); err != nil {
				metrics.Malformed(metrics.KindAgents)
				klog.ErrorS(err, "Can't decode the agents of a shard; using all agents that have ever registered", "shard", r.partition)
				if agents, err = r.registeredAgents(ctx); err != nil {
					return nil, nil, err
				}
			}
			continue
		}
		j, err := wire.DecodeRecord(job.ID(rec.Key), rec.Value)
		if err != nil {
			metrics.Malformed(metrics.KindJobRecord)
			klog.ErrorS(err, "Skipping a job record that can't be decoded", "shard", r.partition)
			continue
		}
		records = append(records, j)
	}
	return records, agents, nil
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
