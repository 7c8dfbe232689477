package wire

import (
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
)

func (c *checker) encodeAssign(m *message.Assign) *nodepb.Assign {
	c.sideBySide(len(m.Indexes), len(m.Tasks))
	return &nodepb.Assign{
		Key:        c.encodeKey(m.Key),
		Operator:   c.id("operator", m.Operator),
		Indexes:    c.encodeIndexes("indexes", m.Indexes),
		Tasks:      c.encodeTasks(m.Tasks),
		DeadlineNs: c.nanos("deadline", m.Deadline),
		Backlog:    c.small("backlog", m.Backlog),
		Repeatable: m.Repeatable,
		Tries:      c.tries(m.Tries, len(m.Indexes)),
		Override:   m.Override,
		Priority:   c.small("priority", m.Priority),
	}
}

func (c *checker) decodeAssign(p *nodepb.Assign) message.Assign {
	c.sideBySide(len(p.GetIndexes()), len(p.GetTasks()))
	return message.Assign{
		Key:        c.decodeKey(p.GetKey()),
		Operator:   c.id("operator", p.GetOperator()),
		Indexes:    c.decodeIndexes("indexes", p.GetIndexes()),
		Tasks:      c.decodeTasks(p.GetTasks()),
		Deadline:   c.duration("deadline", p.GetDeadlineNs()),
		Backlog:    c.integer("backlog", p.GetBacklog()),
		Repeatable: p.GetRepeatable(),
		Tries:      c.tries(p.GetTries(), len(p.GetIndexes())),
		Override:   p.GetOverride(),
		Priority:   c.integer("priority", p.GetPriority()),
	}
}

// sideBySide guards against an Assign whose tasks would be started under the
// index of another: results would land in the wrong place of the answer.
func (c *checker) sideBySide(indexes, tasks int) {
	if indexes != tasks {
		c.fail("indexes: %d for %d tasks", indexes, tasks)
	}
}

func (c *checker) encodeReport(m *message.Report) *nodepb.Report {
	return &nodepb.Report{
		Key:          c.encodeKey(m.Key),
		Results:      c.encodeResults(m.Results),
		Refused:      c.encodeIndexes("refused", m.Refused),
		Tries:        c.tries(m.Tries, len(m.Refused)),
		Reason:       c.reason(m.Reason),
		RetryAfterNs: c.nanos("retry after", m.RetryAfter),
		Running:      c.encodeIndexes("running", m.Running),
		Credit:       c.small("credit", m.Credit),
		Load:         c.encodeLoad(&m.Load),
	}
}

func (c *checker) decodeReport(p *nodepb.Report) message.Report {
	return message.Report{
		Key:        c.decodeKey(p.GetKey()),
		Results:    c.decodeResults(p.GetResults()),
		Refused:    c.decodeIndexes("refused", p.GetRefused()),
		Tries:      c.tries(p.GetTries(), len(p.GetRefused())),
		Reason:     c.readReason(p.GetReason()),
		RetryAfter: c.duration("retry after", p.GetRetryAfterNs()),
		Running:    c.decodeIndexes("running", p.GetRunning()),
		Credit:     c.integer("credit", p.GetCredit()),
		Load:       c.decodeLoad(p.GetLoad()),
	}
}

func (c *checker) encodeTaskQuery(m *message.TaskQuery) *nodepb.TaskQuery {
	return &nodepb.TaskQuery{
		Key:     c.encodeKey(m.Key),
		Indexes: c.encodeIndexes("indexes", m.Indexes),
		Tries:   c.tries(m.Tries, len(m.Indexes)),
	}
}

func (c *checker) decodeTaskQuery(p *nodepb.TaskQuery) message.TaskQuery {
	return message.TaskQuery{
		Key:     c.decodeKey(p.GetKey()),
		Indexes: c.decodeIndexes("indexes", p.GetIndexes()),
		Tries:   c.tries(p.GetTries(), len(p.GetIndexes())),
	}
}

func (c *checker) encodeDrop(m *message.Drop) *nodepb.Drop {
	return &nodepb.Drop{
		Key:     c.encodeKey(m.Key),
		Indexes: c.encodeIndexes("indexes", m.Indexes),
		Tries:   c.tries(m.Tries, len(m.Indexes)),
	}
}

func (c *checker) decodeDrop(p *nodepb.Drop) message.Drop {
	return message.Drop{
		Key:     c.decodeKey(p.GetKey()),
		Indexes: c.decodeIndexes("indexes", p.GetIndexes()),
		Tries:   c.tries(p.GetTries(), len(p.GetIndexes())),
	}
}

func (c *checker) encodeDrops(m *message.Drops) *nodepb.Drops {
	out := &nodepb.Drops{}
	for i := range m.Jobs {
		out.Jobs = append(out.Jobs, c.encodeDrop(&m.Jobs[i]))
	}
	return out
}

func (c *checker) decodeDrops(p *nodepb.Drops) message.Drops {
	var out message.Drops
	for _, d := range p.GetJobs() {
		out.Jobs = append(out.Jobs, c.decodeDrop(d))
	}
	return out
}

// tries checks that each try has its index. Absent tries mean zero for all.
func (c *checker) tries(in []uint32, indexes int) []uint32 {
	if len(in) == 0 {
		return nil
	}
	if len(in) != indexes {
		c.fail("tries: %d for %d indexes", len(in), indexes)
	}
	return in
}
