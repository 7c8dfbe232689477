package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// ticked is a machine that counts its ticks.
type ticked struct {
	Machine
	count atomic.Int64
	last  atomic.Int64 // in Unix nanoseconds
	idle  atomic.Bool
}

func (m *ticked) Tick(now time.Time) []coordination.Action {
	m.count.Add(1)
	m.last.Store(now.UnixNano())
	return nil
}

func (m *ticked) Idle() bool { return m.idle.Load() }

func (m *ticked) Handle(time.Time, state.NodeID, message.Message) []coordination.Action { return nil }

// noLinks takes everything.
type noLinks struct{}

func (noLinks) SetPeer(state.NodeID, string)            {}
func (noLinks) Forget(state.NodeID)                     {}
func (noLinks) Send(state.NodeID, message.Message) bool { return true }

// A fleet has nothing to do at night, and each daemon woke up 40 times a second
// for it. When the first job of the morning comes, nothing of it may wait for
// the end of a long rest: its batches, its retries, its caller's deadline.
func TestTicksRestUntilWorkComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &ticked{}
		m.idle.Store(true)
		r := New(Options{Self: "a@1", Machine: m})
		r.Bind(noLinks{})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { r.tick(ctx); close(ended) }()
		second := func() int64 {
			synctest.Wait()
			before := m.count.Load()
			time.Sleep(time.Second)
			synctest.Wait()
			return m.count.Load() - before
		}
		is.Equal(second(), int64(10))
		r.Receive("b@1", message.LoadNews{})
		is.Equal(second(), int64(10))

		time.Sleep(restInterval / 3)
		came := time.Now()
		r.Receive("b@1", message.Drop{})
		time.Sleep(coordination.TickInterval)
		synctest.Wait()
		is.Equal(time.Unix(0, m.last.Load()).Sub(came), coordination.TickInterval)

		m.idle.Store(false) // a caller waits for a long task
		time.Sleep(time.Second)
		is.Equal(second(), int64(40))
		cancel()
		<-ended
	})
}
