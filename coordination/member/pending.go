package member

import (
	"bytes"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// maxBackoff bounds how long a record that didn't arrive waits for its next
// try.
const maxBackoff = time.Minute

// purpose is what a record is to bring about. There is at most one append under
// way for each.
type purpose struct {
	kind roster.Kind
	node state.NodeID
	// group is the one that KindSuspect asks.
	group string
}

// attempt is an append whose record hasn't been read yet.
type attempt struct {
	data []byte
	at   time.Time
	// failed says that the record certainly is not and will not be in the log.
	failed bool
	tries  int
}

// AppendFailed tells that an append certainly failed: the log refused it, or it
// never left this host. An append without an answer is not reported; reading
// settles it.
func (m *Machine) AppendFailed(now time.Time, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.pending {
		if bytes.Equal(a.data, data) {
			a.failed = true
			a.at = now
		}
	}
}

// appendLocked asks for a record, unless an earlier one for the same purpose
// may still be read.
//
// A second record after a lost reply can do harm: a join that arrives after the
// incarnation was evicted would bring it back. So the log must have been read
// up to its end after the first append can no longer arrive, and each further
// try waits twice as long.
func (m *Machine) appendLocked(now time.Time, p purpose, rec roster.Record) []coordination.Action {
	a, tried := m.pending[p]
	if tried && !m.mayRetryLocked(now, a) {
		return nil
	}
	action := appendOf(rec)
	if !tried {
		a = &attempt{}
		m.pending[p] = a
	}
	a.data = action.Data
	a.at = now
	a.failed = false
	a.tries++
	return []coordination.Action{action}
}

func appendOf(rec roster.Record) coordination.Append {
	data, err := roster.Encode(rec)
	if err != nil {
		panic(err) // records of this package always encode
	}
	return coordination.Append{Stream: coordination.StreamRoster, Data: data}
}

func (m *Machine) mayRetryLocked(now time.Time, a *attempt) bool {
	if now.Sub(a.at) < backoff(a.tries) {
		return false
	}
	return a.failed || m.readAt.Sub(a.at) > m.o.AppendTimeout
}

func backoff(tries int) time.Duration {
	wait := time.Second
	for range tries - 1 {
		wait = min(2*wait, maxBackoff)
	}
	return wait
}

// settleLocked forgets the appends whose purpose is fulfilled.
func (m *Machine) settleLocked() {
	for p := range m.pending {
		if m.fulfilledLocked(p) {
			delete(m.pending, p)
		}
	}
}

func (m *Machine) fulfilledLocked(p purpose) bool {
	_, member := m.roster.Member(p.node)
	switch p.kind {
	case roster.KindJoin:
		return m.joined
	case roster.KindSnapshot:
		return m.snapshots.read
	case roster.KindSuspect:
		return false // reading one ends the purpose, see noteSignsLocked
	default:
		return !member
	}
}
