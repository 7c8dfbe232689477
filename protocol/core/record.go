// Package core encodes the messages between entries, owners and agents, and the
// job records in the store.
package core

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
)

// EncodeRecord encodes a job's record for the store. The record of a job that has
// ended has no spec, only its digest.
func EncodeRecord(r *job.Record) ([]byte, error) {
	p := &corepb.JobRecord{
		Policy:     PolicyToWire(&r.Policy),
		State:      int32(r.State),
		FirstEpoch: r.FirstEpoch,
		Failure:    r.Failure,
		ElapsedMs:  r.Elapsed.Milliseconds(),
		Digest:     []byte(r.Spec.Digest),
		Tasks:      tasksToWire(r.Tasks),
	}
	for _, run := range r.Repeated {
		p.Repeated = append(p.Repeated, &corepb.RepeatedTask{Step: int32(run.Task.Step), Index: int32(run.Task.Index), Run: run.Number})
	}
	if !r.State.Final() {
		p.Spec = SpecToWire(&r.Spec)
	}
	b, err := proto.Marshal(p)
	return b, errors.Wrapf(err, "record of job %s", r.ID)
}

// tasksToWire returns the wire form of the tasks, or nil if no task has progress,
// failures or crashes to record.
func tasksToWire(tasks []job.TaskRecord) []*corepb.TaskRecord {
	hasProgress := false
	out := make([]*corepb.TaskRecord, len(tasks))
	for i := range tasks {
		t := &tasks[i]
		hasProgress = hasProgress || t.Done || t.Failures > 0 || t.Checkpoint != "" || t.Result != "" || len(t.Crashes) > 0 || t.ClearedRun > 0
		out[i] = &corepb.TaskRecord{
			Done: t.Done, Failures: int32(t.Failures), Checkpoint: t.Checkpoint, Result: t.Result, WorkUs: t.Work.Microseconds(),
			Crashes: crashesToWire(t.Crashes), FailedRuns: t.FailedRuns, ClearedRun: t.ClearedRun,
		}
	}
	if !hasProgress {
		return nil
	}
	return out
}

// DecodeRecord decodes the record of job id. It is the inverse of EncodeRecord, and returns an error for a
// record with figures that no owner has written.
func DecodeRecord(id job.ID, b []byte) (*job.Record, error) {
	var p corepb.JobRecord
	if err := proto.Unmarshal(b, &p); err != nil {
		return nil, errors.Wrapf(err, "record of job %s", id)
	}
	if err := checkRecord(&p); err != nil {
		return nil, errors.Wrapf(err, "record of job %.40q", id)
	}
	r := &job.Record{
		ID:         id,
		Spec:       SpecFromWire(p.GetSpec()),
		Policy:     PolicyFromWire(p.GetPolicy()),
		State:      job.State(p.GetState()),
		FirstEpoch: p.GetFirstEpoch(),
		Failure:    p.GetFailure(),
		Elapsed:    time.Duration(p.GetElapsedMs()) * time.Millisecond,
	}
	r.Spec.Digest = string(p.GetDigest())
	r.Tasks = tasksFromWire(p.GetTasks(), r.Spec.Tasks())
	for _, t := range p.GetRepeated() {
		task := job.TaskID{Job: id, Step: int(t.GetStep()), Index: int(t.GetIndex())}
		r.Repeated = append(r.Repeated, job.RunID{Task: task, Number: t.GetRun()})
	}
	return r, nil
}

// tasksFromWire is the inverse of tasksToWire. It returns at least the given number
// of tasks, because tasksToWire may have omitted all of them.
func tasksFromWire(in []*corepb.TaskRecord, minTasks int) []job.TaskRecord {
	out := make([]job.TaskRecord, max(minTasks, len(in)))
	for i, t := range in {
		out[i] = job.TaskRecord{
			Done: t.GetDone(), Failures: int(t.GetFailures()), Checkpoint: t.GetCheckpoint(),
			Result: t.GetResult(), Work: time.Duration(t.GetWorkUs()) * time.Microsecond,
			Crashes: crashesFromWire(t.GetCrashes()), FailedRuns: t.GetFailedRuns(), ClearedRun: t.GetClearedRun(),
		}
	}
	return out
}

func crashesToWire(in []job.Crash) []*corepb.Crash {
	var out []*corepb.Crash
	for _, c := range in {
		out = append(out, &corepb.Crash{
			Run: c.Run, Node: c.Node, Instance: c.Instance.ID, InstanceStartedMs: c.Instance.StartedMS,
			Alone: c.Alone, Confirmed: c.Confirmed,
		})
	}
	return out
}

func crashesFromWire(in []*corepb.Crash) []job.Crash {
	var out []job.Crash
	for _, c := range in {
		out = append(out, job.Crash{
			Run: c.GetRun(), Node: c.GetNode(), Instance: job.Instance{ID: c.GetInstance(), StartedMS: c.GetInstanceStartedMs()},
			Alone: c.GetAlone(), Confirmed: c.GetConfirmed(),
		})
	}
	return out
}

// SpecToWire returns the wire form of a spec.
func SpecToWire(s *job.Spec) *corepb.Spec {
	out := &corepb.Spec{Payload: s.Payload, BestEffort: s.BestEffort, Digest: []byte(s.Digest)}
	for i := range s.Steps {
		out.Steps = append(out.Steps, stepToWire(&s.Steps[i]))
	}
	return out
}

func stepToWire(s *job.Step) *corepb.Step {
	out := &corepb.Step{
		Count: int32(s.Count), CpuMillis: s.Demand.CPUMillis, MemoryMb: s.Demand.MemoryMB, Gpus: s.Demand.GPUs,
		EstimateMs: s.Estimate.Milliseconds(), Label: s.Label, Rack: s.Rack,
		MaxPerWorker: int32(s.MaxPerWorker), Checkpoints: s.Checkpoints,
		Domains: s.Domains, Payloads: s.Payloads,
	}
	for _, d := range s.DependsOn {
		out.DependsOn = append(out.DependsOn, int32(d))
	}
	return out
}

// SpecFromWire is the inverse of SpecToWire.
func SpecFromWire(p *corepb.Spec) job.Spec {
	out := job.Spec{Payload: p.GetPayload(), BestEffort: p.GetBestEffort(), Digest: string(p.GetDigest())}
	for _, s := range p.GetSteps() {
		step := job.Step{
			Count:    int(s.GetCount()),
			Demand:   job.Demand{CPUMillis: s.GetCpuMillis(), MemoryMB: s.GetMemoryMb(), GPUs: s.GetGpus()},
			Estimate: time.Duration(s.GetEstimateMs()) * time.Millisecond,
			Label:    s.GetLabel(), Rack: s.GetRack(),
			MaxPerWorker: int(s.GetMaxPerWorker()), Checkpoints: s.GetCheckpoints(),
			Domains: s.GetDomains(), Payloads: s.GetPayloads(),
		}
		for _, d := range s.GetDependsOn() {
			step.DependsOn = append(step.DependsOn, int(d))
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}

// PolicyToWire returns the wire form of a policy.
func PolicyToWire(p *job.Policy) *corepb.Policy {
	return &corepb.Policy{
		Queue: p.Queue, Service: p.Service, Priority: int32(p.Priority), MaxAttempts: int32(p.MaxAttempts),
		Slack: p.Slack, TargetMs: p.Target.Milliseconds(), Version: p.Version, Once: p.AtMostOnce,
	}
}

// PolicyFromWire is the inverse of PolicyToWire.
func PolicyFromWire(p *corepb.Policy) job.Policy {
	return job.Policy{
		Queue: p.GetQueue(), Service: p.GetService(), Priority: int(p.GetPriority()), MaxAttempts: int(p.GetMaxAttempts()),
		Slack: p.GetSlack(), Target: time.Duration(p.GetTargetMs()) * time.Millisecond, Version: p.GetVersion(), AtMostOnce: p.GetOnce(),
	}
}
