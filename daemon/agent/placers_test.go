package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The notes of an earlier incarnation are read late because the store is slow. An entry has
// restarted and placed work in the meantime. If the notes replaced its new incarnation by the old
// one, the agent's next incarnation would take the entry's runs for those of an entry that is gone.
func TestLateNotesDoNotReplaceWhatIsNewer(t *testing.T) {
	is := is.New(t)
	l := newRecentPlacers()
	l.record(time.Hour, "entry-1/new")
	l.restore(time.Hour, []string{"entry-1/old", "entry-2/old"})
	is.Equal(l.owners(), []string{"entry-1/new", "entry-2/old"})
}

// An entry places tasks on an agent a hundred times a second. The notes are written only once.
func TestNotesAreWrittenWhenTheyChange(t *testing.T) {
	is := is.New(t)
	l := newRecentPlacers()
	now := time.Hour
	l.record(now, "entry-1/a")
	is.True(l.writeDue(now))
	for range 100 {
		now += 10 * time.Millisecond
		l.record(now, "entry-1/a")
		is.True(!l.writeDue(now))
	}
	l.record(now, "entry-1/b")
	is.True(l.writeDue(now))
	// An owner that has placed nothing for longer than placerRetention is dropped.
	l.record(now+2*placerRetention, "entry-2/a")
	is.True(l.writeDue(now + 2*placerRetention))
	is.Equal(l.owners(), []string{"entry-2/a"})
}
