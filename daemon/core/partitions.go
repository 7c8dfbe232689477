package core

import (
	"slices"
	"strconv"

	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
)

// Series is partitions of several topics that are numbered through: those of the first
// topic, then those of the second, and so on.
type Series struct {
	Prefix string
	// Topics of parts partitions each.
	Topics, Parts int
}

// ShardSeries has the shards of the recorded jobs.
func ShardSeries(s *settings.Settings) Series {
	return Series{Prefix: "keyed.jobs", Topics: s.Store.Topics, Parts: s.Store.Partitions}
}

// Size is the number of partitions.
func (s Series) Size() int { return s.Topics * s.Parts }

// Names are those of the topics.
func (s Series) Names() []string {
	out := make([]string, s.Topics)
	for i := range out {
		out[i] = s.topic(i)
	}
	return out
}

func (s Series) topic(i int) string { return s.Prefix + strconv.Itoa(i) }

// Partition returns that of a number.
func (s Series) Partition(number int) store.Partition {
	return store.Partition{Topic: s.topic(number / s.Parts), Number: number % s.Parts}
}

// Number returns that of a partition, or false if it is none of the series.
func (s Series) Number(p store.Partition) (int, bool) {
	i := slices.Index(s.Names(), p.Topic)
	if i < 0 || p.Number < 0 || p.Number >= s.Parts {
		return 0, false
	}
	return i*s.Parts + p.Number, true
}
