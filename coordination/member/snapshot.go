package member

import (
	"fmt"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/member/watch"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// recordsPerTurn is how many records more each further member lets pass before
// it writes a snapshot that is due by their number.
const recordsPerTurn = 50

// snapshots is what is known of the snapshots in the log.
type snapshots struct {
	// offset and at are of the last one that a newcomer can use.
	offset int64
	at     time.Time
	// lastChange is the offset of the last record that is no snapshot.
	lastChange int64
	// read is set when a usable one was read after the last append.
	read bool
}

// Read takes in a record as it stands in the log. The driver calls it for each
// record, in order, before Roster.
func (m *Machine) Read(now time.Time, offset int64, data []byte) {
	record, err := roster.Decode(data)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startLocked(now)
	m.noteSignsLocked(now, offset, record)
	s := &m.snapshots
	snapshot, ok := record.(roster.Snapshot)
	if !ok {
		s.lastChange = offset
		return
	}
	// A newcomer passes over a snapshot that a record has overtaken.
	if snapshot.Through < s.lastChange {
		return
	}
	s.offset = offset
	s.at = now
	s.read = true
	if m.readAt.IsZero() {
		// It was written before this node started, nobody knows how long ago.
		s.at = now.Add(-m.o.SnapshotEvery / 2)
	}
}

// snapshotLocked asks for a snapshot when the last one grows old or too many
// records follow it. The log drops records after its retention; a newcomer that
// finds neither the first record nor a usable snapshot has no roster. So it is
// written also when nothing has changed.
func (m *Machine) snapshotLocked(now time.Time) []coordination.Action {
	s := &m.snapshots
	since := s.at
	if since.IsZero() {
		since = m.started.Add(-m.o.SnapshotEvery / 2)
	}
	age := now.Sub(since) - m.o.SnapshotEvery
	records := m.roster.Offset() - s.offset - m.o.SnapshotRecords
	if age < 0 && records < 0 {
		return nil
	}
	// The members take turns. Each further one waits for the one before it.
	turn := m.turnLocked()
	if age < time.Duration(turn)*m.o.TakeoverStep && records < int64(turn)*recordsPerTurn {
		return nil
	}
	out := m.appendLocked(now, purpose{kind: roster.KindSnapshot}, m.roster.Snapshot())
	if len(out) > 0 {
		s.read = false
		m.stats.Snapshots++
	}
	return out
}

// turnLocked is this node's place in the order for the next snapshot.
func (m *Machine) turnLocked() int {
	return m.placeLocked(keyOf("snapshot after", m.snapshots.offset), m.roster.Members())
}

// keyOf names what is drawn for after a record.
func keyOf(what string, offset int64) string { return fmt.Sprintf("%s %d", what, offset) }

// placeLocked is this node's place among members in the order for a key, or -1.
func (m *Machine) placeLocked(key string, members []state.Member) int {
	order := watch.Rank(key, members)
	return slices.IndexFunc(order, func(o state.Member) bool { return o.ID == m.o.Self.ID })
}
