package agent

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
)

var operatorRecords = store.Partition{Topic: "operators"}

// An entry's answer was held up on its link until the agent has asked anew. Guards against an old
// configuration that counts as confirmed lately: its age on the way is that of its own question.
func TestAnswerToEarlierQuestionIsDropped(t *testing.T) {
	is := is.New(t)
	s := newSnapshots()
	first, earlier := s.listen(operatorRecords)
	s.ignore(first)
	second, question := s.listen(operatorRecords)
	s.tell(&corepb.StoreSnapshot{Question: earlier})
	is.Equal(len(second), 0)
	s.tell(&corepb.StoreSnapshot{Question: question})
	is.Equal(len(second), 1)
}

// Guards against answers about the registry that are taken for those about the configuration, and
// leave no room for them.
func TestAnswerAboutAnotherPartitionIsDropped(t *testing.T) {
	is := is.New(t)
	s := newSnapshots()
	config, _ := s.listen(operatorRecords)
	registry, question := s.listen(core.RegistryPartition)
	s.tell(&corepb.StoreSnapshot{Question: question})
	is.Equal(len(config), 0)
	is.Equal(len(registry), 1)
}

// Questions for both partitions go out in one frame. Guards against one that replaces the other.
func TestQuestionsShareAFrame(t *testing.T) {
	is := is.New(t)
	s := newSnapshots()
	config, first := s.listen(operatorRecords)
	registry, second := s.listen(core.RegistryPartition)
	f := &corepb.FromAgent{}
	askSnapshot(f, second)
	askSnapshot(f, first)
	s.tell(&corepb.StoreSnapshot{Question: f.GetAskSnapshot()})
	is.Equal(len(config), 1)
	is.Equal(len(registry), 1)
}

// One entry answers at once, another never. Guards against an answer whose age leaves out the time
// for which it waited for the other.
func TestAgeCountsTheWaitForOtherEntries(t *testing.T) {
	is := is.New(t)
	s := newSnapshots()
	asked := bootclock.Now()
	answers, question := s.listen(operatorRecords)
	s.tell(&corepb.StoreSnapshot{Question: question, Config: &corepb.StoredPartition{Position: 7, AgeMs: 100}})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	state := newestAnswer(collect(ctx, answers, 2), operatorRecords, asked)
	is.True(state.Age >= 120*time.Millisecond)
}
