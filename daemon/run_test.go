package daemon

import (
	"context"
	"sync/atomic"
	"testing"
)

// Guards against an entry that accepts connections of clients before it can serve, whose 503 they
// take as the answer, and against one that never accepts any because it never gets ready.
func TestEntryAcceptsOnceItIsReady(t *testing.T) {
	var ready atomic.Bool
	asked, done := make(chan struct{}, 1), make(chan struct{})
	go func() {
		defer close(done)
		awaitReady(context.Background(), func() bool {
			select {
			case asked <- struct{}{}:
			default:
			}
			return ready.Load()
		})
	}()
	<-asked
	<-asked // it has asked again, so the first answer did not end the wait
	select {
	case <-done:
		t.Fatal("the wait has ended although the entry is not ready")
	default:
	}
	ready.Store(true)
	<-done
	awaitReady(context.Background(), func() bool { return false }) // it returns all the same
}
