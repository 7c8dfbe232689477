package core

import (
	"slices"
	"strconv"

	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
)

// series is partitions of several topics that are numbered through: those of the first
// topic, then those of the second, and so on.
type series struct {
	prefix string
	// topics of parts partitions each.
	topics, parts int
}

// shardSeries has the shards of the recorded jobs.
func shardSeries(s *settings.Settings) series {
	return series{prefix: "keyed.jobs", topics: s.Store.Topics, parts: s.Store.Partitions}
}

func (s series) size() int { return s.topics * s.parts }

func (s series) names() []string {
	out := make([]string, s.topics)
	for i := range out {
		out[i] = s.topic(i)
	}
	return out
}

func (s series) topic(i int) string { return s.prefix + strconv.Itoa(i) }

// partition returns that of a number.
func (s series) partition(number int) store.Partition {
	return store.Partition{Topic: s.topic(number / s.parts), Part: number % s.parts}
}

// number returns that of a partition, or false if it is none of the series.
func (s series) number(p store.Partition) (int, bool) {
	i := slices.Index(s.names(), p.Topic)
	if i < 0 || p.Part < 0 || p.Part >= s.parts {
		return 0, false
	}
	return i*s.parts + p.Part, true
}
