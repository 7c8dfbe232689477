package core

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/snapshot"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
)

// lateStore answers reads some time after they should have ended.
type lateStore struct {
	coretest.RejectingStore
	late time.Duration
}

func (s lateStore) Newest(context.Context, store.Partition) ([]store.Record, int64, error) {
	return nil, 7, nil
}

func (s lateStore) Follow(_ context.Context, _ store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	for began := bootclock.Now(); bootclock.Now()-began < wait+s.late; {
		time.Sleep(time.Millisecond)
	}
	return nil, from, nil
}

// A process is suspended while it waits for the store. Guards against an answer from before that
// passes for the store's word of now.
func TestLateAnswerConfirmsNoLaterThanTheReadEnds(t *testing.T) {
	is := is.New(t)
	p, c := store.Partition{Topic: "operators"}, &snapshot.Copy{}
	st := KeepCopies(lateStore{late: 30 * time.Millisecond}, map[store.Partition]*snapshot.Copy{p: c})
	_, position, err := st.Newest(t.Context(), p)
	is.NoErr(err)
	_, _, err = st.Follow(t.Context(), p, position, 5*time.Millisecond)
	is.NoErr(err)
	s, ok := c.State(bootclock.Now())
	is.True(ok)
	is.True(s.Age >= 30*time.Millisecond)
}
