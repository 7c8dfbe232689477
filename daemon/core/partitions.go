package core

import (
	"slices"
	"strconv"

	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
)

// Series is partitions of several topics that are numbered through: those of the first
// topic, then those of the second, and so on.
type PartitionSeries struct {
	Prefix string
	// Topics of parts partitions each.
	Topics, PartitionsPerTopic int
}

// ShardSeries has the shards of the recorded jobs.
func ShardSeries(s *settings.Settings) PartitionSeries {
	return PartitionSeries{Prefix: "keyed.jobs", Topics: s.Store.Topics, PartitionsPerTopic: s.Store.Partitions}
}

// Size is the number of partitions.
func (s PartitionSeries) Size() int { return s.Topics * s.PartitionsPerTopic }

// Names are those of the topics.
func (s PartitionSeries) TopicNames() []string {
	out := make([]string, s.Topics)
	for i := range out {
		out[i] = s.topic(i)
	}
	return out
}

func (s PartitionSeries) topic(i int) string { return s.Prefix + strconv.Itoa(i) }

// Partition returns that of a number.
func (s PartitionSeries) Partition(number int) store.Partition {
	return store.Partition{Topic: s.topic(number / s.PartitionsPerTopic), Number: number % s.PartitionsPerTopic}
}

// Number returns that of a partition, or false if it is none of the series.
func (s PartitionSeries) Number(p store.Partition) (int, bool) {
	i := slices.Index(s.TopicNames(), p.Topic)
	if i < 0 || p.Number < 0 || p.Number >= s.PartitionsPerTopic {
		return 0, false
	}
	return i*s.PartitionsPerTopic + p.Number, true
}
