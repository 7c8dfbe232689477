package snapshot

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load: 183 entries start at once without the store, ask one agent and repeat each 300 ms. Guards
// against answers that share the link until none of them arrives within the askers' timeout.
func TestManyAskersAtOnce(t *testing.T) {
	const (
		askers      = 183
		answerBytes = 700 << 10 // a configuration of 1,400 routes and a registry of 1,000 agents
		linkBytes   = 19_000_000 / 8
		timeout     = 900 * time.Millisecond
	)
	var p Pacer
	served, linkFree := 0, time.Duration(0)
	for at := now; served < askers && at < now+2*time.Minute; at += 300 * time.Millisecond {
		for range askers - served {
			if !p.Admit(at, answerBytes) {
				continue
			}
			linkFree = max(linkFree, at) + answerBytes*time.Second/linkBytes
			if linkFree-at > timeout {
				t.Fatalf("an answer takes %v", linkFree-at)
			}
			served++
		}
	}
	if served != askers {
		t.Errorf("%d of %d askers were answered", served, askers)
	}
}

// Guards against askers whose configuration lapses because others take the link: an answer without
// records is always sent.
func TestRenewalsAreNotPaced(t *testing.T) {
	is := is.New(t)
	var p Pacer
	for p.Admit(now, 1<<20) {
	}
	is.True(p.Admit(now, 40))
	is.True(p.Admit(now+2*time.Second, 1<<20))
}
