package core

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/speed"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
)

// RunToWire returns the wire form of a run's ID.
func RunToWire(r job.RunID) *corepb.Run {
	return &corepb.Run{Job: string(r.Task.Job), Step: int32(r.Task.Step), Index: int32(r.Task.Index), Number: r.Number}
}

// RunFromWire is the inverse of RunToWire.
func RunFromWire(p *corepb.Run) job.RunID {
	return job.RunID{
		Task:   job.TaskID{Job: job.ID(p.GetJob()), Step: int(p.GetStep()), Index: int(p.GetIndex())},
		Number: p.GetNumber(),
	}
}

// OrderToWire returns the wire form of an order. The due time is sent relative to
// now, because the clocks of two hosts differ.
func OrderToWire(now time.Duration, o *worker.Order) *corepb.Order {
	return &corepb.Order{
		Shard: int32(o.Shard), Epoch: o.Epoch, Session: o.Session, Run: RunToWire(o.Run),
		Payload: o.Payload, Service: o.Service, Label: o.Label,
		CpuMillis: o.Demand.CPUMillis, MemoryMb: o.Demand.MemoryMB, Gpus: o.Demand.GPUs,
		EstimateUs: o.Estimate.Microseconds(), Speed: o.Speed, DueUs: (o.Due - now).Microseconds(),
		Once: o.AtMostOnce, Repeat: o.Repeat, Checkpoint: o.Checkpoint, MaxPerWorker: int32(o.MaxPerWorker), Caution: int32(o.Isolation),
	}
}

// OrderFromWire is the inverse of OrderToWire. now is the receiver's clock.
func OrderFromWire(now time.Duration, p *corepb.Order) worker.Order {
	return worker.Order{
		Shard: int(p.GetShard()), Epoch: p.GetEpoch(), Session: p.GetSession(), Run: RunFromWire(p.GetRun()),
		Payload: p.GetPayload(), Service: p.GetService(), Label: p.GetLabel(),
		Demand:     job.Demand{CPUMillis: p.GetCpuMillis(), MemoryMB: p.GetMemoryMb(), GPUs: p.GetGpus()},
		Estimate:   time.Duration(p.GetEstimateUs()) * time.Microsecond,
		Due:        now + time.Duration(p.GetDueUs())*time.Microsecond,
		Speed:      orderSpeed(p),
		AtMostOnce: p.GetOnce(), Repeat: p.GetRepeat(), Checkpoint: p.GetCheckpoint(), MaxPerWorker: int(p.GetMaxPerWorker()),
		Isolation: worker.Isolation(p.GetCaution()),
	}
}

// OrderSpeedIsValid reports whether an order's speed can be one. A speed that can't counts as absent.
func OrderSpeedIsValid(p *corepb.Order) bool { return p.GetSpeed() == 0 || speed.InRange(p.GetSpeed()) }

func orderSpeed(p *corepb.Order) float64 {
	if !OrderSpeedIsValid(p) {
		return 0
	}
	return p.GetSpeed()
}

// RunStateToWire returns the wire form of a run's state.
func RunStateToWire(s *worker.RunState) *corepb.RunState {
	return &corepb.RunState{
		Run: RunToWire(s.Run), Status: int32(s.Status), End: int32(s.End),
		Checkpoint: s.Checkpoint, WorkUs: s.Work.Microseconds(), Reason: s.Reason, Result: s.Result,
		Loss: int32(s.Loss), Instance: s.Instance.ID, InstanceStartedMs: s.Instance.StartedMS, Suspects: int32(s.Suspects),
	}
}

// RunStateFromWire is the inverse of RunStateToWire.
func RunStateFromWire(p *corepb.RunState) worker.RunState {
	return worker.RunState{
		Run: RunFromWire(p.GetRun()), Status: worker.Status(p.GetStatus()), End: job.EndKind(p.GetEnd()),
		Checkpoint: p.GetCheckpoint(), Work: time.Duration(p.GetWorkUs()) * time.Microsecond, Reason: p.GetReason(), Result: p.GetResult(),
		Loss: worker.Loss(p.GetLoss()), Instance: job.Instance{ID: p.GetInstance(), StartedMS: p.GetInstanceStartedMs()}, Suspects: int(p.GetSuspects()),
	}
}

// ClaimedToWire returns the wire form of the response to a claim.
func ClaimedToWire(c *worker.Claimed) *corepb.Claimed {
	out := &corepb.Claimed{Shard: int32(c.Shard), Epoch: c.Epoch, Session: c.Session, Refused: c.Refused, KnownEpoch: c.KnownEpoch,
		Incarnation: c.Incarnation.Agent, Server: c.Incarnation.Server.ID, ServerStartedMs: c.Incarnation.Server.StartedMS,
	}
	for i := range c.Runs {
		out.Runs = append(out.Runs, RunStateToWire(&c.Runs[i]))
	}
	for i := range c.Lost {
		out.Lost = append(out.Lost, RunStateToWire(&c.Lost[i]))
	}
	return out
}

// ClaimedFromWire is the inverse of ClaimedToWire.
func ClaimedFromWire(p *corepb.Claimed) worker.Claimed {
	out := worker.Claimed{
		Claim:   worker.Claim{Shard: int(p.GetShard()), Epoch: p.GetEpoch(), Session: p.GetSession()},
		Refused: p.GetRefused(), KnownEpoch: p.GetKnownEpoch(),
		Incarnation: worker.Incarnation{Agent: p.GetIncarnation(), Server: job.Instance{ID: p.GetServer(), StartedMS: p.GetServerStartedMs()}},
	}
	for _, r := range p.GetRuns() {
		out.Runs = append(out.Runs, RunStateFromWire(r))
	}
	for _, r := range p.GetLost() {
		out.Lost = append(out.Lost, RunStateFromWire(r))
	}
	return out
}

// LoadToWire returns the wire form of an agent's load. It omits the work ahead if
// there is no backlog.
func LoadToWire(l *worker.Load) *corepb.Load {
	out := &corepb.Load{
		Service: l.Server.Service, Labels: l.Server.Labels,
		CapacityCpu: l.Server.Capacity.CPUMillis, CapacityMemory: l.Server.Capacity.MemoryMB, CapacityGpus: l.Server.Capacity.GPUs,
		FreeCpu: l.Free.CPUMillis, FreeMemory: l.Free.MemoryMB, FreeGpus: l.Free.GPUs,
		BacklogUs: l.Backlog.Microseconds(), TurnoverUs: l.Turnover.Microseconds(), Accepts: l.Accepts,
		Slowdown: l.Slowdown, Speed: l.Speed, SpeedRuns: int32(l.SpeedRuns), Suspects: int32(l.Suspects), Drained: l.Drained,
	}
	if l.Backlog > 0 {
		for _, a := range l.Ahead {
			out.AheadUs = append(out.AheadUs, a.Microseconds())
		}
	}
	return out
}

// LoadFromWire returns an agent's load in the form that owners use.
func LoadFromWire(p *corepb.Load) owner.AgentLoad {
	out := owner.AgentLoad{
		Service: p.GetService(), Labels: p.GetLabels(),
		Capacity: job.Demand{CPUMillis: p.GetCapacityCpu(), MemoryMB: p.GetCapacityMemory(), GPUs: p.GetCapacityGpus()},
		Free:     job.Demand{CPUMillis: p.GetFreeCpu(), MemoryMB: p.GetFreeMemory(), GPUs: p.GetFreeGpus()},
		Backlog:  time.Duration(p.GetBacklogUs()) * time.Microsecond,
		Turnover: time.Duration(p.GetTurnoverUs()) * time.Microsecond,
		Slowdown: p.GetSlowdown(), Domain: p.GetDomain(), Drained: p.GetDrained(),
		Accepts: p.GetAccepts(), OrdersSeen: p.GetOrdersSeen(), Placers: int(p.GetPlacers()), Suspects: int(p.GetSuspects()),
		Orders: p.GetOrders(),
	}
	if SpeedIsValid(p) && p.GetSpeedRuns() > 0 {
		out.Speed, out.SpeedRuns = p.GetSpeed(), int(p.GetSpeedRuns())
	}
	for i, us := range p.GetAheadUs() {
		if i < len(out.Ahead) {
			out.Ahead[i] = time.Duration(us) * time.Microsecond
		}
	}
	return out
}

// SpeedIsValid reports whether a load's speed can be one. A speed that can't counts as unknown.
func SpeedIsValid(p *corepb.Load) bool {
	s := p.GetSpeed()
	return (s == 0 || speed.InRange(s)) && p.GetSpeedRuns() >= 0
}

// DrainsToWire returns the wire form of the known drains, or nil if none have been
// read yet. age is the time since the store confirmed them.
func DrainsToWire(s drains.State, age time.Duration) *corepb.Drains {
	if s.Position == 0 {
		return nil
	}
	return &corepb.Drains{Position: s.Position, Domains: s.Domains, AgeMs: age.Milliseconds()}
}

// DrainsFromWire is the inverse of DrainsToWire. It sorts the domains.
func DrainsFromWire(p *corepb.Drains) (drains.State, time.Duration) {
	s := drains.State{Position: p.GetPosition(), Domains: slices.Clone(p.GetDomains())}
	slices.Sort(s.Domains)
	return s, time.Duration(p.GetAgeMs()) * time.Millisecond
}

// ResponseToWire returns the wire form of an owner's response.
func ResponseToWire(r owner.Response) *corepb.Verdict {
	return &corepb.Verdict{
		Outcome: int32(r.Outcome), Reason: r.Reason, State: int32(r.State),
		RetryAfterMs: r.RetryAfter.Milliseconds(), Count: int64(r.Count), Known: r.Known,
		Tasks: tasksToWire(r.Tasks), Failure: r.Failure, ElapsedMs: r.Elapsed.Milliseconds(), Counted: ShardsToWire(r.Counted),
	}
}

// ShardsToWire returns the wire form of a list of shards.
func ShardsToWire(shards []int) []int32 {
	var out []int32
	for _, id := range shards {
		out = append(out, int32(id))
	}
	return out
}

// ShardsFromWire is the inverse of ShardsToWire.
func ShardsFromWire(in []int32) []int {
	var out []int
	for _, id := range in {
		out = append(out, int(id))
	}
	return out
}

// ResponseFromWire is the inverse of ResponseToWire.
func ResponseFromWire(p *corepb.Verdict) owner.Response {
	return owner.Response{
		Outcome: owner.Outcome(p.GetOutcome()), Reason: p.GetReason(), State: job.State(p.GetState()),
		RetryAfter: time.Duration(p.GetRetryAfterMs()) * time.Millisecond, Count: int(p.GetCount()), Known: p.GetKnown(),
		Tasks: tasksFromWire(p.GetTasks(), 0), Failure: p.GetFailure(),
		Elapsed: time.Duration(p.GetElapsedMs()) * time.Millisecond, Counted: ShardsFromWire(p.GetCounted()),
	}
}
