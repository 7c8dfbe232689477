package loadgen

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// TaskKind is one kind of task. Its run time is uniform from MinRunTime to
// MaxRunTime, in whole milliseconds. Share is the share of tasks of this kind, Step
// the name of the step in the payload.
type TaskKind struct {
	Step                   string
	Share                  float64
	MinRunTime, MaxRunTime time.Duration
}

func (k *TaskKind) meanRunTime() time.Duration { return (k.MinRunTime + k.MaxRunTime) / 2 }

// Mix is the distribution of the kinds of tasks of a load. The shares of its kinds
// add up to 1.
type Mix struct {
	Name string
	// Service is the default service of a load with this mix. It is empty for the
	// mix "fixed".
	Service string
	Kinds   []TaskKind
}

// fixedMixName is the name of the mix whose tasks all have the same run time.
const fixedMixName = "fixed"

// The workloads of two operators. Most tasks take 50 ms to 1 s, a few take several
// seconds.
var (
	haneulMix = Mix{Name: "haneul", Service: "bench-desk", Kinds: []TaskKind{
		{"eye-size", 0.35, 50 * time.Millisecond, 200 * time.Millisecond},
		{"damage-list", 0.30, 100 * time.Millisecond, 400 * time.Millisecond},
		{"photo-assessment", 0.34, 300 * time.Millisecond, time.Second},
		{"restoration-scan", 0.01, 2 * time.Second, 8 * time.Second},
	}}
	gridlogMix = Mix{Name: "gridlog", Service: "yard-logbook", Kinds: []TaskKind{
		{"inspection", 0.60, 50 * time.Millisecond, 300 * time.Millisecond},
		{"fault-clearance", 0.25, 100 * time.Millisecond, 600 * time.Millisecond},
		{"isolation-record", 0.145, 200 * time.Millisecond, time.Second},
		{"photo-record", 0.005, 2 * time.Second, 6 * time.Second},
	}}
)

// ParseMix returns the mix with this name. work is the run time of the tasks of the
// mix "fixed", truncated to milliseconds; other mixes ignore it.
func ParseMix(name string, work time.Duration) (Mix, error) {
	switch name {
	case haneulMix.Name:
		return haneulMix, nil
	case gridlogMix.Name:
		return gridlogMix, nil
	case fixedMixName:
		work = work.Truncate(time.Millisecond)
		if work < 0 {
			return Mix{}, errors.New("the work takes less than no time")
		}
		return Mix{Name: fixedMixName, Kinds: []TaskKind{{fixedMixName, 1, work, work}}}, nil
	}
	return Mix{}, errors.Errorf("the mix is haneul, gridlog or fixed, not %q", name)
}

// text returns the name of the mix, followed by the run time for the mix "fixed".
func (m Mix) text() string {
	if m.Name == fixedMixName {
		return m.Name + " " + m.Kinds[0].MinRunTime.String()
	}
	return m.Name
}

// parseMixText parses the result of text.
func parseMixText(text string) (Mix, error) {
	name, length, _ := strings.Cut(text, " ")
	if length == "" {
		return ParseMix(name, 0)
	}
	work, err := time.ParseDuration(length)
	if err != nil {
		return Mix{}, errors.Wrap(err, "parse run time of a mix")
	}
	return ParseMix(name, work)
}

// Mean returns the mean run time of a task.
func (m Mix) Mean() time.Duration {
	mean := 0.0
	for i := range m.Kinds {
		mean += m.Kinds[i].Share * float64(m.Kinds[i].meanRunTime())
	}
	return time.Duration(mean)
}

// draw draws a kind of task and its run time.
func (m Mix) draw(rng *rand.Rand) (*TaskKind, time.Duration) {
	x := rng.Float64()
	k := &m.Kinds[len(m.Kinds)-1]
	for i := range m.Kinds {
		if x < m.Kinds[i].Share {
			k = &m.Kinds[i]
			break
		}
		x -= m.Kinds[i].Share
	}
	span := (k.MaxRunTime - k.MinRunTime).Milliseconds()
	return k, k.MinRunTime + time.Duration(rng.Int64N(span+1))*time.Millisecond
}
