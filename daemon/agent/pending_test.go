package agent

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/daemon/coretest"
)

// Guards against a number of pending jobs that passes for one of all shards while the records of one are read.
func TestShardThatIsBeingOpenedIsNotCounted(t *testing.T) {
	is := is.New(t)
	st := &memberStore{reading: make(chan struct{})}
	st.holdElsewhere(t, 4)
	a := newMember(t, st)
	coretest.Await(t, func() bool { return st.count("newest") == 1 })
	is.Equal(len(a.Pending("", []int{groupShard}).Counted), 0)
	close(st.reading)
	coretest.Await(t, a.owns(groupShard))
	v := a.Pending("", []int{groupShard})
	is.Equal(v.Counted, []int{groupShard})
	is.Equal(v.Count, 1)
	is.Equal(len(a.Pending("", []int{groupShard + 1}).Counted), 0)
}

// Guards against counting a shard to which another agent may have added jobs.
func TestUnverifiedShardIsNotCounted(t *testing.T) {
	is := is.New(t)
	st := &memberStore{}
	a := newMember(t, st)
	coretest.Await(t, a.owns(groupShard))
	st.setRejects(true)
	st.assign(8, true)
	join(t, a)
	is.Equal(len(a.Pending("", nil).Counted), 0)
	st.setRejects(false)
	coretest.Await(t, func() bool { return len(a.Pending("", nil).Counted) == 1 })
}
