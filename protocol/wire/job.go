package wire

import (
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
	"github.com/shallotstep/shallotstep/state"
)

func (c *checker) encodeKey(k state.JobKey) *nodepb.JobKey {
	return &nodepb.JobKey{
		Service: c.id("service", k.Service),
		Id:      c.id("id", k.ID),
	}
}

func (c *checker) decodeKey(p *nodepb.JobKey) state.JobKey {
	return state.JobKey{
		Service: c.id("service", p.GetService()),
		ID:      c.id("id", p.GetId()),
	}
}

func (c *checker) encodeTasks(in []state.Task) []*nodepb.Task {
	if c.tasks("tasks", len(in)) == 0 {
		return nil
	}
	out := make([]*nodepb.Task, len(in))
	for i := range in {
		t := &in[i]
		out[i] = &nodepb.Task{
			Payload:      t.Payload,
			Cores:        c.cores(t.Cores),
			MemoryMb:     c.count("memory", t.MemoryMB),
			Accelerators: c.count("accelerators", t.Accelerators),
			ExpectedNs:   c.nanos("expected", t.Expected),
		}
	}
	return out
}

func (c *checker) decodeTasks(in []*nodepb.Task) []state.Task {
	if c.tasks("tasks", len(in)) == 0 {
		return nil
	}
	out := make([]state.Task, len(in))
	for i, p := range in {
		out[i] = state.Task{
			Payload:      present(p.GetPayload()),
			Cores:        c.cores(p.GetCores()),
			MemoryMB:     c.count("memory", p.GetMemoryMb()),
			Accelerators: c.count("accelerators", p.GetAccelerators()),
			Expected:     c.duration("expected", p.GetExpectedNs()),
		}
	}
	return out
}

func (c *checker) encodeResults(in []state.TaskResult) []*nodepb.TaskResult {
	if c.tasks("results", len(in)) == 0 {
		return nil
	}
	out := make([]*nodepb.TaskResult, len(in))
	for i := range in {
		r := &in[i]
		out[i] = &nodepb.TaskResult{
			Index:   c.encodeIndex("results", r.Index),
			Err:     prose(r.Err),
			Payload: r.Payload,
			RanNs:   c.nanos("ran", r.Ran),
		}
	}
	return out
}

func (c *checker) decodeResults(in []*nodepb.TaskResult) []state.TaskResult {
	if c.tasks("results", len(in)) == 0 {
		return nil
	}
	out := make([]state.TaskResult, len(in))
	for i, p := range in {
		out[i] = state.TaskResult{
			Index:   c.index("results", p.GetIndex()),
			Err:     p.GetErr(),
			Payload: present(p.GetPayload()),
			Ran:     c.duration("ran", p.GetRanNs()),
		}
	}
	return out
}

func (c *checker) encodeFence(f message.Fence) *nodepb.Fence {
	if f == (message.Fence{}) {
		return nil
	}
	return &nodepb.Fence{Home: f.Home, Witness: f.Witness, AgeNs: c.nanos("fence age", f.Age)}
}

func (c *checker) decodeFence(p *nodepb.Fence) message.Fence {
	return message.Fence{Home: p.GetHome(), Witness: p.GetWitness(), Age: c.duration("fence age", p.GetAgeNs())}
}

func (c *checker) encodeSubmit(m *message.Submit) *nodepb.Submit {
	return &nodepb.Submit{
		Job: &nodepb.Job{
			Key:        c.encodeKey(m.Job.Key),
			Operator:   c.id("operator", m.Job.Operator),
			Tasks:      c.encodeTasks(m.Job.Tasks),
			Repeatable: m.Job.Repeatable,
		},
		Digest:     encodeDigest(m.Digest),
		Attempt:    c.name("attempt", string(m.Attempt)),
		Epoch:      int64(m.Epoch),
		DeadlineNs: c.nanos("deadline", m.Deadline),
		Query:      m.Query,
		Fence:      c.encodeFence(m.Fence),
	}
}

func (c *checker) decodeSubmit(p *nodepb.Submit) message.Submit {
	job := p.GetJob()
	return message.Submit{
		Job: state.Job{
			Key:        c.decodeKey(job.GetKey()),
			Operator:   c.id("operator", job.GetOperator()),
			Tasks:      c.decodeTasks(job.GetTasks()),
			Repeatable: job.GetRepeatable(),
		},
		Digest:   c.decodeDigest(p.GetDigest()),
		Attempt:  message.Attempt(c.name("attempt", p.GetAttempt())),
		Epoch:    state.Epoch(p.GetEpoch()),
		Deadline: c.duration("deadline", p.GetDeadlineNs()),
		Query:    p.GetQuery(),
		Fence:    c.decodeFence(p.GetFence()),
	}
}

func (c *checker) outcome(o uint32) state.Outcome {
	if o > uint32(state.Unknown) {
		c.fail("outcome: %d is not known", o)
		return state.Unknown
	}
	return state.Outcome(o)
}

func (c *checker) encodeAnswer(m *message.Answer) *nodepb.Answer {
	return &nodepb.Answer{
		Key:          c.encodeKey(m.Key),
		Attempt:      c.name("attempt", string(m.Attempt)),
		Outcome:      uint32(c.outcome(uint32(m.Outcome))),
		Reason:       c.reason(m.Reason),
		Detail:       prose(m.Detail),
		RetryAfterNs: c.nanos("retry after", m.RetryAfter),
		Epoch:        int64(m.Epoch),
		Holder:       c.node("holder", m.Holder),
		Fence:        c.encodeFence(m.Fence),
		Results:      c.encodeResults(m.Results),
		Stats: &nodepb.Stats{
			Messages:  c.count("messages", int64(m.Stats.Messages)),
			Wasted:    c.count("wasted", int64(m.Stats.Wasted)),
			LongestNs: c.nanos("longest", m.Stats.Longest),
			TotalNs:   c.nanos("total", m.Stats.Total),
			ElapsedNs: c.nanos("elapsed", m.Stats.Elapsed),
			Started:   c.count("started", int64(m.Stats.Started)),

			WastedByKind: encodeWaste(m.Stats.ByKind),
		},
	}
}

func (c *checker) decodeAnswer(p *nodepb.Answer) message.Answer {
	stats := p.GetStats()
	return message.Answer{
		Key:        c.decodeKey(p.GetKey()),
		Attempt:    message.Attempt(c.name("attempt", p.GetAttempt())),
		Outcome:    c.outcome(p.GetOutcome()),
		Reason:     c.readReason(p.GetReason()),
		Detail:     p.GetDetail(),
		RetryAfter: c.duration("retry after", p.GetRetryAfterNs()),
		Epoch:      state.Epoch(p.GetEpoch()),
		Holder:     state.NodeID(c.name("holder", p.GetHolder())),
		Fence:      c.decodeFence(p.GetFence()),
		Results:    c.decodeResults(p.GetResults()),
		Stats: message.Stats{
			Messages: int(c.count("messages", stats.GetMessages())),
			Wasted:   int(c.count("wasted", stats.GetWasted())),
			Longest:  c.duration("longest", stats.GetLongestNs()),
			Total:    c.duration("total", stats.GetTotalNs()),
			Elapsed:  c.duration("elapsed", stats.GetElapsedNs()),
			ByKind:   decodeWaste(stats.GetWastedByKind()),
			Started:  int(c.count("started", stats.GetStarted())),
		},
	}
}

func encodeWaste(in [message.Wastes]uint32) []uint32 {
	if in == ([message.Wastes]uint32{}) {
		return nil
	}
	return in[:]
}

func decodeWaste(in []uint32) (out [message.Wastes]uint32) {
	copy(out[:], in)
	return out
}

func (c *checker) encodeCancel(m *message.Cancel) *nodepb.Cancel {
	return &nodepb.Cancel{
		Key:     c.encodeKey(m.Key),
		Attempt: c.name("attempt", string(m.Attempt)),
	}
}

func (c *checker) decodeCancel(p *nodepb.Cancel) message.Cancel {
	return message.Cancel{
		Key:     c.decodeKey(p.GetKey()),
		Attempt: message.Attempt(c.name("attempt", p.GetAttempt())),
	}
}
