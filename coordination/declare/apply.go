package declare

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

// Failure says how an append failed.
type Failure uint8

const (
	// FailureRefused means that the record is certainly not in the log and
	// won't be.
	FailureRefused Failure = iota
	// FailureUnknown means that the record may be in the log, now or later.
	FailureUnknown
)

// Put takes an operator's file that replaces the base version. It is refused at
// once if that is certain already; otherwise it is appended and settled later
// under the ticket, by exactly one coordination.Applied.
func (m *Machine) Put(now time.Time, ticket uint64, operator string, base state.Version, raw []byte) []coordination.Action {
	file, err := declaration.Parse(operator, raw)
	if err != nil {
		return m.refuse(ticket, operator, state.ReasonMalformed, err.Error())
	}
	if file.Operator != operator {
		detail := fmt.Sprintf("the file is of operator %q, not %q", file.Operator, operator)
		return m.refuse(ticket, operator, state.ReasonMalformed, detail)
	}
	if reason, detail := m.set.Check(operator, file); reason != state.ReasonNone {
		return m.refuse(ticket, operator, reason, detail)
	}
	if reason, detail := m.set.CheckSize(operator, file, string(raw)); reason != state.ReasonNone {
		return m.refuse(ticket, operator, reason, detail)
	}
	if done, ok := m.alreadySettled(ticket, operator, base, string(raw)); ok {
		m.metrics.settled(done.Reason)
		return []coordination.Action{done}
	}
	return m.appendApply(now, ticket, operator, base, string(raw))
}

// alreadySettled answers an apply whose base is not current any more. A caller
// that never saw the answer to its apply submits the same file against the same
// base again; it is told that the file is in force, not that it lost a race
// against itself.
func (m *Machine) alreadySettled(ticket uint64, operator string, base state.Version, raw string) (coordination.Applied, bool) {
	cur, _ := m.set.Operator(operator)
	if base >= cur.Version {
		// Newer than what this node knows: the log decides.
		return coordination.Applied{}, false
	}
	if cur.Raw == raw && cur.Base == base && cur.ApplyID != "" {
		return coordination.Applied{Ticket: ticket, Version: cur.Version, Outcome: state.Complete}, true
	}
	detail := fmt.Sprintf("made against version %d, but version %d is in force", base, cur.Version)
	return m.refusal(ticket, operator, state.ReasonLostRace, detail), true
}

func (m *Machine) appendApply(now time.Time, ticket uint64, operator string, base state.Version, raw string) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending) >= maxPending {
		return m.refuse(ticket, operator, state.ReasonOverload, "too many applies wait for the log")
	}
	rec := declaration.Record{
		Kind:     declaration.KindApply,
		Operator: operator,
		ApplyID:  m.nextApplyID(),
		Base:     base,
		File:     raw,
	}
	data, err := rec.Encode()
	if err != nil {
		return m.refuse(ticket, operator, state.ReasonTooLarge, err.Error())
	}
	m.pending[rec.ApplyID] = &pending{
		ticket:   ticket,
		operator: operator,
		base:     base,
		raw:      raw,
		deadline: now.Add(m.opts.SettleLimit),
	}
	return []coordination.Action{coordination.Append{Stream: coordination.StreamDeclarations, Data: data}}
}

// AppendFailed tells the machine that an append it asked for failed.
func (m *Machine) AppendFailed(now time.Time, data []byte, failure Failure) []coordination.Action {
	rec, err := declaration.DecodeRecord(data)
	if err != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.metrics.appendFailed(rec.Kind, failure)
	switch rec.Kind {
	case declaration.KindApply:
		return m.applyFailedLocked(rec, data, failure)
	case declaration.KindRestoreBegin, declaration.KindRestoreCommit:
		return m.restoreFailedLocked(rec, failure)
	}
	return nil
}

func (m *Machine) applyFailedLocked(rec *declaration.Record, data []byte, failure Failure) []coordination.Action {
	p := m.pending[rec.ApplyID]
	if p == nil {
		return nil
	}
	if failure == FailureRefused || m.disabled.unknownIsNot {
		// The record is not in, and as nobody appends it again it never will be.
		return m.settleLocked(rec.ApplyID, m.refusal(p.ticket, p.operator, state.ReasonLogUnavailable,
			"the platform's log took no record"))
	}
	if m.disabled.appendOnce {
		return []coordination.Action{coordination.Append{Stream: coordination.StreamDeclarations, Data: data}}
	}
	return nil
}

// Record takes the record read at an offset of the declaration stream.
func (m *Machine) Record(now time.Time, offset int64, data []byte) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	ev, err := m.set.Apply(offset, data)
	m.noteReadLocked(now, offset)
	if err != nil {
		m.metrics.undecodable()
		return nil
	}
	actions := m.eventLocked(now, ev)
	for _, settled := range ev.Settled {
		actions = append(actions, m.eventLocked(now, settled)...)
	}
	return actions
}

// noteReadLocked remembers when which record was read, once this node has come up.
func (m *Machine) noteReadLocked(now time.Time, offset int64) {
	if !m.log.caughtUp || offset != m.set.Through() {
		return
	}
	m.log.recordAt = now
	m.log.recent.add(offset, now)
}

func (m *Machine) eventLocked(now time.Time, ev declaration.Event) []coordination.Action {
	m.metrics.read(ev.Verdict)
	m.refreshes.note(now, ev, m.opts)
	switch ev.Verdict {
	case declaration.VerdictBegun, declaration.VerdictReported, declaration.VerdictRestored, declaration.VerdictVoid:
		return m.restoreEventLocked(now, ev)
	case declaration.VerdictAccepted:
		return m.acceptedLocked(ev)
	case declaration.VerdictRefused:
		return m.refusedLocked(ev)
	case declaration.VerdictUndecided, declaration.VerdictUnreadable:
		m.peers.askSoon(now)
	}
	return nil
}

// acceptedLocked settles our apply, and those of ours that this one beat: a
// version is replaced by one apply only, so another against the same base can't
// be accepted any more, whether or not its record is in the log.
func (m *Machine) acceptedLocked(ev declaration.Event) []coordination.Action {
	var actions []coordination.Action
	for _, id := range m.pendingIDsLocked() {
		p := m.pending[id]
		won := id == ev.ApplyID
		beaten := p.operator == ev.Operator && p.base == ev.Base && !m.disabled.baseReplaced
		if !won && !beaten {
			continue
		}
		cur, _ := m.set.Operator(p.operator)
		if won || cur.Version == ev.Version && cur.Raw == p.raw {
			actions = append(actions, m.settleLocked(id, p.acceptance(ev.Version))...)
			continue
		}
		detail := fmt.Sprintf("version %d was replaced by another apply", p.base)
		actions = append(actions, m.settleLocked(id, m.refusal(p.ticket, p.operator, state.ReasonLostRace, detail))...)
	}
	return actions
}

func (m *Machine) refusedLocked(ev declaration.Event) []coordination.Action {
	p := m.pending[ev.ApplyID]
	if p == nil {
		return nil
	}
	return m.settleLocked(ev.ApplyID, m.refusal(p.ticket, p.operator, ev.Reason, ev.Detail))
}

// ReadThrough tells the machine that the stream was read to its present end.
func (m *Machine) ReadThrough(now time.Time, offset int64) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set.ReadTo(offset)
	m.refreshes.logBack(now, offset, m)
	m.log.readAt = now
	m.log.caughtUp = true
	m.log.failing = false
	m.readyLocked()
	return nil
}

// ReadFailed tells the machine that the stream could not be read just now.
// Peers may have read what this node has not, so it asks them.
func (m *Machine) ReadFailed(now time.Time) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.log.failing {
		m.peers.askSoon(now)
	}
	m.log.failing = true
	return nil
}

// expireLocked answers callers that have waited long enough. Their records may
// be in the log, so nothing but "unknown" would be true.
func (m *Machine) expireLocked(now time.Time) []coordination.Action {
	var actions []coordination.Action
	for _, id := range m.pendingIDsLocked() {
		p := m.pending[id]
		if now.Before(p.deadline) {
			continue
		}
		cur, _ := m.set.Operator(p.operator)
		actions = append(actions, m.settleLocked(id, coordination.Applied{
			Ticket:  p.ticket,
			Version: cur.Version,
			Outcome: state.Unknown,
			Reason:  state.ReasonApplyUnknown,
			Detail:  "the log has not shown what became of apply " + id,
		})...)
	}
	return actions
}

func (m *Machine) settleLocked(id string, a coordination.Applied) []coordination.Action {
	delete(m.pending, id)
	m.metrics.settled(a.Reason)
	return []coordination.Action{a}
}

// pendingIDsLocked returns the ids in a fixed order, so that the same events
// give the same actions.
func (m *Machine) pendingIDsLocked() []string {
	return slices.Sorted(maps.Keys(m.pending))
}

func (p *pending) acceptance(v state.Version) coordination.Applied {
	return coordination.Applied{Ticket: p.ticket, Version: v, Outcome: state.Complete}
}

func (m *Machine) refusal(ticket uint64, operator string, reason state.Reason, detail string) coordination.Applied {
	cur, _ := m.set.Operator(operator)
	return coordination.Applied{
		Ticket:  ticket,
		Version: cur.Version,
		Outcome: state.NotRun,
		Reason:  reason,
		Detail:  detail,
	}
}

func (m *Machine) refuse(ticket uint64, operator string, reason state.Reason, detail string) []coordination.Action {
	m.metrics.settled(reason)
	return []coordination.Action{m.refusal(ticket, operator, reason, detail)}
}
