package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/settings"
)

// A connection to the store falls silent while a read of the configuration waits. Guards against a
// wait so long that the silence is found, and the newest configuration read, only after the time
// within which it has to be in force; and against calls to the store that go on at the pace of the
// strictest deployment where there is more time.
func TestSilentConnectionIsFoundWithinTheConfigurationBound(t *testing.T) {
	is := is.New(t)
	const read = 300 * time.Millisecond // a dial and a read of the newest records
	wait := func(apply time.Duration) time.Duration {
		return ConfigWait(&settings.Settings{Bounds: settings.Bounds{ConfigApply: apply}})
	}
	for _, apply := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second, 20 * time.Second} {
		is.True(wait(apply)+followSlack+read < apply)
	}
	is.Equal(wait(0), minConfigWait)
	is.True(wait(5*time.Second) >= 3*wait(2*time.Second))
}

// Agents hear of drains from the entries, which hear from the store after each read. Guards against
// agents that read the store themselves between two reads of the entries: with many agents that is
// most of the calls to the store.
func TestAgentsWaitForTheReadsOfEntries(t *testing.T) {
	is := is.New(t)
	for _, apply := range []time.Duration{0, 3 * time.Second, 5 * time.Second} {
		s := &settings.Settings{Bounds: settings.Bounds{ConfigApply: apply}}
		is.True(MaxDrainsAge(s) > ConfigWait(s)+followSlack)
	}
}
