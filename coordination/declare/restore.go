package declare

import (
	"fmt"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

const (
	// RestoreLimit is how long a restore may take in all.
	RestoreLimit = 5 * time.Minute
	// restoreWait is how long after its begin a restore may be committed at the
	// earliest. A process that has not read the log for logSilence counts the log
	// as out of reach; whoever reads has read the begin by then, and its draw of
	// reportSpread or objectSpread has passed.
	restoreWait = time.Minute
	// restoreQuiet is how long no report may have come before the commit.
	restoreQuiet = 20 * time.Second
	// reportSpread is the time over which all processes together spread their
	// reports: what one has reported the others needn't.
	reportSpread = 30 * time.Second
	// reportPause is the shortest time between two reports of a process, ownerPause
	// that of the one that restores, which reports all that it has in force.
	reportPause = 5 * time.Second
	ownerPause  = 100 * time.Millisecond
	// objectSpread is the time over which processes with a complete view draw the
	// moment of the refresh that makes a restore void.
	objectSpread = 10 * time.Second
	// restoredSpread is the time over which the operators are refreshed after a
	// restore, for those that it left without a complete view.
	restoredSpread = 2 * time.Minute
	// reportRetry is when a report that was not read yet is written again.
	reportRetry = 10 * time.Second
	// aheadLook is how often a process looks for what it should report while no
	// restore is under way, windowLook while one is, and ownerPause its owner.
	aheadLook  = 10 * time.Second
	windowLook = time.Second
)

// restorer is what this node does for restores, its own and others'.
type restorer struct {
	own *ownRestore
	// wrote is when this node reported an operator for the restore that began at
	// reportFor. It is nil while there is nothing to report.
	wrote     map[string]time.Time
	reportFor int64
	// nextLook and nextReport are the earliest moments of the next of each.
	nextLook, nextReport time.Time
	// objectFor is the begin that this node objects to, at objectAt.
	objectFor int64
	objectAt  time.Time
	// reportedAt is when a report of the present restore was last read.
	reportedAt time.Time
}

// ownRestore is a restore that a person asked this node for.
type ownRestore struct {
	ticket   uint64
	id       string
	deadline time.Time
	// begin is the offset of its begin, 0 until it was read, at begunAt.
	begin     int64
	begunAt   time.Time
	committed bool
	// unread are the processes that had not read the begin at the last look, and
	// readAt is when there was none.
	unread []state.NodeID
	readAt time.Time
}

// Restore makes the newest versions that any living process has in force the
// whole truth, where no process has a complete view of the log. The ticket gets
// one Applied: Complete with the offset of the commit; NotRun when there is
// nothing to restore or when the restore is void; Unknown when the log didn't
// show in time what became of it. Asking again never does harm.
func (m *Machine) Restore(now time.Time, ticket uint64) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.log.readable(now) {
		return m.restoreRefused(ticket, state.ReasonLogUnavailable, "this node can't read the platform's log")
	}
	if m.restore.own != nil {
		return m.restoreRefused(ticket, state.ReasonOverload, "a restore is under way through this node")
	}
	id := m.nextApplyID()
	rec, ok := m.set.BeginRestore(id)
	if !ok {
		return m.restoreRefused(ticket, state.ReasonNothingToRestore, "this node has a complete view of the declarations")
	}
	data, err := rec.Encode()
	if err != nil {
		return m.restoreRefused(ticket, state.ReasonTooLarge, err.Error())
	}
	m.restore.own = &ownRestore{ticket: ticket, id: id, deadline: now.Add(RestoreLimit)}
	m.metrics.restored("asked")
	return []coordination.Action{coordination.Append{Stream: coordination.StreamDeclarations, Data: data}}
}

func (m *Machine) restoreRefused(ticket uint64, reason state.Reason, detail string) []coordination.Action {
	m.metrics.settled(reason)
	return []coordination.Action{coordination.Applied{Ticket: ticket, Outcome: state.NotRun, Reason: reason, Detail: detail}}
}

// settleRestoreLocked answers whoever asked for this node's restore.
func (m *Machine) settleRestoreLocked(outcome state.Outcome, v state.Version, reason state.Reason, detail string) []coordination.Action {
	ticket := m.restore.own.ticket
	m.restore.own = nil
	m.metrics.settled(reason)
	return []coordination.Action{coordination.Applied{
		Ticket: ticket, Version: v, Outcome: outcome, Reason: reason, Detail: detail,
	}}
}

func (m *Machine) restoreEventLocked(now time.Time, ev declaration.Event) []coordination.Action {
	m.restore.nextLook = now
	switch ev.Verdict {
	case declaration.VerdictBegun, declaration.VerdictReported:
		m.restore.reportedAt = now
	case declaration.VerdictRestored:
		m.refreshes.restored(now, ev.Offset, m)
	}
	own := m.restore.own
	if own == nil || own.id != ev.ApplyID {
		return nil
	}
	switch ev.Verdict {
	case declaration.VerdictBegun:
		own.begin = ev.Offset
		own.begunAt = now
	case declaration.VerdictRestored:
		return m.settleRestoreLocked(state.Complete, state.Version(ev.Offset), state.ReasonNone, "")
	case declaration.VerdictVoid:
		return m.settleRestoreLocked(state.NotRun, 0, state.ReasonRestoreVoid, ev.Detail)
	}
	return nil
}

// restoreFailedLocked takes the word that a begin or a commit is certainly not
// in the log. One that may be in is looked for.
func (m *Machine) restoreFailedLocked(rec *declaration.Record, failure Failure) []coordination.Action {
	own := m.restore.own
	if failure != FailureRefused || own == nil || own.id != rec.ApplyID {
		return nil
	}
	return m.settleRestoreLocked(state.NotRun, 0, state.ReasonLogUnavailable, "the platform's log took no record")
}

func (m *Machine) restoreTickLocked(now time.Time) []coordination.Action {
	actions := m.restoreOverLocked(now)
	if now.Before(m.restore.nextLook) || !m.log.readable(now) {
		return actions
	}
	begin, id := m.set.Window()
	own := m.restore.own
	owner := own != nil && own.id == id
	m.restore.nextLook = now.Add(m.restore.pause(now, begin, owner))
	actions = append(actions, m.objectLocked(now, begin)...)
	actions = append(actions, m.reportLocked(now, begin, owner)...)
	return append(actions, m.commitLocked(now, begin)...)
}

// pause is how long the node need not look for what it should do. A restore
// whose owner has died stays open, so it counts as over some time after it began.
func (r *restorer) pause(now time.Time, begin int64, owner bool) time.Duration {
	switch {
	case owner:
		return ownerPause
	case begin != 0 && now.Sub(r.reportedAt) < RestoreLimit:
		return windowLook
	}
	return aheadLook
}

// restoreOverLocked answers for a restore of this node that came to nothing.
func (m *Machine) restoreOverLocked(now time.Time) []coordination.Action {
	own := m.restore.own
	if own == nil {
		return nil
	}
	begin, _ := m.set.Window()
	switch {
	case own.begin != 0 && own.begin != begin && !own.committed:
		return m.settleRestoreLocked(state.NotRun, 0, state.ReasonRestoreVoid,
			"a process with a complete view objected, or another restore began")
	case now.Before(own.deadline):
		return nil
	case own.committed || own.begin == 0:
		return m.settleRestoreLocked(state.Unknown, 0, state.ReasonApplyUnknown,
			"the log has not shown what became of the restore; asking again does no harm")
	}
	return m.settleRestoreLocked(state.NotRun, 0, state.ReasonRestoreVoid, own.missing())
}

// missing says why a restore could not be committed in time.
func (r *ownRestore) missing() string {
	const named = 5
	if len(r.unread) == 0 {
		return "not everything was reported in time"
	}
	return fmt.Sprintf("%d processes are not known to have read the log, the first of them: %v", len(r.unread), r.unread[:min(named, len(r.unread))])
}

// objectLocked writes a refresh if somebody restores what this node knows
// completely: that refresh makes the restore void. The other operators are
// refreshed soon after, for somebody wants a complete view.
func (m *Machine) objectLocked(now time.Time, begin int64) []coordination.Action {
	r := &m.restore
	if begin == 0 || !m.set.Complete() || m.disabled.restoreObject {
		return nil
	}
	if r.objectFor != begin {
		r.objectFor = begin
		r.objectAt = now.Add(m.drawFor("object", begin, objectSpread))
		m.refreshes.restored(now, begin, m)
	}
	if now.Before(r.objectAt) {
		return nil
	}
	r.objectAt = now.Add(objectSpread)
	for _, operator := range m.set.Refreshable() {
		rec, ok := m.set.Refresh(operator)
		if !ok {
			continue
		}
		if data, err := rec.Encode(); err == nil {
			m.metrics.restored("objected")
			return []coordination.Action{coordination.Append{Stream: coordination.StreamDeclarations, Data: data}}
		}
	}
	return nil
}

// reportLocked writes at most one report. Processes begin one after the other,
// and each takes the operators in another order: when a restore lacks much, all
// of them would write the same reports in the same moment.
func (m *Machine) reportLocked(now time.Time, begin int64, owner bool) []coordination.Action {
	r := &m.restore
	operators := m.set.ToReport(owner)
	if len(operators) == 0 {
		r.wrote = nil
		return nil
	}
	if r.wrote == nil || r.reportFor != begin {
		r.reportFor = begin
		r.wrote = make(map[string]time.Time)
		r.nextReport = now
		if !owner && !m.disabled.restoreSpread {
			r.nextReport = now.Add(m.drawFor("report", begin, reportSpread))
		}
	}
	if now.Before(r.nextReport) {
		return nil
	}
	first := m.rng.IntN(len(operators))
	for i := range operators {
		operator := operators[(first+i)%len(operators)]
		if at, wrote := r.wrote[operator]; !wrote || now.Sub(at) >= reportRetry {
			r.wrote[operator] = now
			return m.writeReportLocked(now, operator, owner)
		}
	}
	return nil
}

func (m *Machine) writeReportLocked(now time.Time, operator string, owner bool) []coordination.Action {
	r := &m.restore
	r.nextReport = now.Add(reportPause)
	if owner {
		r.nextReport = now.Add(ownerPause)
	}
	rec, ok := m.set.Report(operator)
	if !ok {
		return nil
	}
	data, err := rec.Encode()
	if err != nil {
		m.metrics.restored("too_large")
		return nil
	}
	m.metrics.restored("reported")
	return []coordination.Action{coordination.Append{Stream: coordination.StreamDeclarations, Data: data}}
}

// commitLocked ends this node's restore once everybody had time to say what it
// lacks.
func (m *Machine) commitLocked(now time.Time, begin int64) []coordination.Action {
	own := m.restore.own
	if own == nil || own.committed || begin == 0 || own.begin != begin {
		return nil
	}
	if !m.allReadLocked(now, own) && !m.disabled.restoreWait {
		return nil
	}
	waited := now.Sub(own.begunAt) >= restoreWait && now.Sub(m.restore.reportedAt) >= restoreQuiet
	if !waited && !m.disabled.restoreWait {
		return nil
	}
	rec, void := m.set.CommitRestore()
	if void != "" {
		return nil
	}
	data, err := rec.Encode()
	if err != nil {
		return nil
	}
	own.committed = true
	return []coordination.Action{coordination.Append{Stream: coordination.StreamDeclarations, Data: data}}
}

// allReadLocked reports whether every living process has read the begin, and has
// had the time to report since. One that stands still for longer than a restore
// waits would report too late: an apply against an older version than it has in
// force might be accepted first. A member that is dead is evicted meanwhile.
func (m *Machine) allReadLocked(now time.Time, own *ownRestore) bool {
	if m.opts.Unread == nil || m.disabled.restoreUnread {
		return true
	}
	if own.readAt.IsZero() {
		own.unread = m.opts.Unread(now, own.begin)
		if len(own.unread) > 0 {
			return false
		}
		own.readAt = now
	}
	return now.Sub(own.readAt) >= reportSpread+reportPause
}

// drawFor returns this node's moment within a span, for one purpose and restore.
func (m *Machine) drawFor(purpose string, begin int64, span time.Duration) time.Duration {
	return time.Duration(fraction(fmt.Sprintf("%s\x00%s\x00%d", m.opts.Self, purpose, begin)) * float64(span))
}

// restored has every operator refreshed soon: processes without a complete view
// wait for one of each operator.
func (r *refresher) restored(now time.Time, offset int64, m *Machine) {
	for _, operator := range m.set.Refreshable() {
		s := &schedule{offset: offset, retry: firstRetry}
		s.at = now.Add(s.draw(m.opts, operator, restoredSpread))
		r.operators[operator] = s
		r.soonest(s.at)
	}
}
