package core

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
)

// Guards against owners that end, one after the other, because of a record of another writer.
func TestRecordWithFiguresOutOfRangeIsRejected(t *testing.T) {
	const last = math.MaxInt64
	step := func(s *corepb.Step) *corepb.JobRecord {
		return &corepb.JobRecord{Spec: &corepb.Spec{Steps: []*corepb.Step{s}}}
	}
	task := func(r *corepb.TaskRecord) *corepb.JobRecord {
		return &corepb.JobRecord{Spec: &corepb.Spec{Steps: []*corepb.Step{{Count: 1}}}, Tasks: []*corepb.TaskRecord{r}}
	}
	for name, p := range map[string]*corepb.JobRecord{
		"fewer than no tasks":      step(&corepb.Step{Count: -1}),
		"tasks past all memory":    step(&corepb.Step{Count: math.MaxInt32}),
		"steps past all tasks":     {Spec: &corepb.Spec{Steps: []*corepb.Step{{Count: 1000}, {Count: 1}}}},
		"depends on a later step":  step(&corepb.Step{Count: 1, DependsOn: []int32{7}}),
		"depends on step -1":       step(&corepb.Step{Count: 1, DependsOn: []int32{-1}}),
		"CPU at the end":           step(&corepb.Step{Count: 1, CpuMillis: last}),
		"memory below zero":        step(&corepb.Step{Count: 1, MemoryMb: -1}),
		"estimate at the end":      step(&corepb.Step{Count: 1, EstimateMs: last}),
		"more tasks than steps":    {Tasks: make([]*corepb.TaskRecord, 5)},
		"results past all memory":  {State: int32(job.Completed), Tasks: make([]*corepb.TaskRecord, 1001)},
		"failures below zero":      task(&corepb.TaskRecord{Failures: -1}),
		"failed run at the end":    task(&corepb.TaskRecord{Failures: 1, FailedRuns: []int64{last}}),
		"crash at the end":         task(&corepb.TaskRecord{Crashes: []*corepb.Crash{{Run: last}}}),
		"work at the end":          task(&corepb.TaskRecord{WorkUs: last}),
		"repeated at the end":      {Repeated: []*corepb.RepeatedTask{{Run: last}}},
		"repeated below zero":      {Repeated: []*corepb.RepeatedTask{{Run: math.MinInt64}}},
		"first epoch at the end":   {FirstEpoch: last},
		"first epoch below zero":   {FirstEpoch: math.MinInt64},
		"unknown state":            {State: 99},
		"state below zero":         {State: -1},
		"elapsed time at the end":  {ElapsedMs: last},
		"target at the end":        {Policy: &corepb.Policy{TargetMs: last}},
		"slack that is no number":  {Policy: &corepb.Policy{Slack: math.NaN()}},
		"slack without an end":     {Policy: &corepb.Policy{Slack: math.Inf(1)}},
		"slack far below the zero": {Policy: &corepb.Policy{Slack: -1}},
	} {
		b, err := proto.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeRecord("00000000000000aa", b); err == nil {
			t.Errorf("accepted a record with %s", name)
		}
	}
}

// Guards against a record that recurses without end.
func TestRecordNestedTooDeeplyIsRejected(t *testing.T) {
	// Groups, which a decoder has to follow to skip them.
	b := make([]byte, 200_000)
	for i := range b {
		b[i] = 0x7b // begin of group 15
	}
	if _, err := DecodeRecord("00000000000000aa", b); err == nil {
		t.Error("accepted a record of open groups")
	}
}
