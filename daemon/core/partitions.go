package core

import (
	"slices"
	"strconv"

	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
)

// PartitionSeries numbers the partitions of several topics consecutively from zero: those of the
// first topic, then those of the second, and so on.
type PartitionSeries struct {
	// Prefix precedes the number of the topic in its name.
	Prefix string
	// Topics is the number of topics, PartitionsPerTopic the number of partitions of each.
	Topics, PartitionsPerTopic int
}

// ShardSeries returns the partitions of the shards of recorded jobs.
func ShardSeries(s *settings.Settings) PartitionSeries {
	return PartitionSeries{Prefix: "keyed.jobs", Topics: s.Store.Topics, PartitionsPerTopic: s.Store.Partitions}
}

// Size returns the number of partitions.
func (s PartitionSeries) Size() int { return s.Topics * s.PartitionsPerTopic }

// TopicNames returns the names of the topics, in order.
func (s PartitionSeries) TopicNames() []string {
	out := make([]string, s.Topics)
	for i := range out {
		out[i] = s.topic(i)
	}
	return out
}

func (s PartitionSeries) topic(i int) string { return s.Prefix + strconv.Itoa(i) }

// Partition returns the partition with a number of the series.
func (s PartitionSeries) Partition(number int) store.Partition {
	return store.Partition{Topic: s.topic(number / s.PartitionsPerTopic), Number: number % s.PartitionsPerTopic}
}

// Number returns the number of a partition, or false if it is not part of the series.
func (s PartitionSeries) Number(p store.Partition) (int, bool) {
	i := slices.Index(s.TopicNames(), p.Topic)
	if i < 0 || p.Number < 0 || p.Number >= s.PartitionsPerTopic {
		return 0, false
	}
	return i*s.PartitionsPerTopic + p.Number, true
}
