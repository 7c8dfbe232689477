package declaration

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/strictjson"
)

// Whatever an operator hands in, parsing ends without a panic, and a file that is
// taken is within the limits that every daemon's memory rests on.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, src []byte) {
		file, err := Parse("f.json", src)
		if err != nil {
			var faults strictjson.Errors
			if !errors.As(err, &faults) || len(faults) == 0 || len(faults) > maxFaults+1 {
				t.Fatalf("the error is none of Errors, or too long: %v", err)
			}
			return
		}
		checkFile(t, file, len(src))
	})
}

func checkFile(t *testing.T, file *File, size int) {
	if size > MaxFileBytes || len(file.Services) > MaxServices || !ValidName(file.Operator) {
		t.Fatalf("%d bytes, %d services, operator %q", size, len(file.Services), file.Operator)
	}
	if file.Priority < 1 || file.Priority > MaxPriority || file.Quota.TasksInFlight < 1 || file.Quota.TasksPerSecond < 1 {
		t.Fatalf("priority %d, quota %+v", file.Priority, file.Quota)
	}
	names := make(map[string]bool)
	for _, s := range file.Services {
		if !ValidName(s.Name) || !ValidName(s.Region) || names[s.Name] {
			t.Fatalf("service %q in region %q, twice %t", s.Name, s.Region, names[s.Name])
		}
		names[s.Name] = true
		// The negations catch NaN.
		if !(s.Task.Cores > 0) || !(s.Task.Cores <= MaxCores) || s.Task.MemoryMB < 1 || s.Task.Expected <= 0 {
			t.Fatalf("task %+v", s.Task)
		}
		if s.MaxTasks < 1 || s.MaxTasks > state.MaxTasksPerJob || s.Deadline <= 0 || s.Deadline > MaxDeadline {
			t.Fatalf("at most %d tasks, deadline %v", s.MaxTasks, s.Deadline)
		}
		if len(s.Placement.Domains) > MaxPlacementNames || len(s.Placement.Racks) > MaxPlacementNames {
			t.Fatalf("placement %+v", s.Placement)
		}
	}
}

// Whatever stands in the log, decoding ends without a panic, and what is taken
// for a record is the same record when it is written and read again.
func FuzzDecodeRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := DecodeRecord(data)
		if err != nil {
			return
		}
		out, err := rec.Encode()
		if err != nil {
			return // it was larger than any that this package makes
		}
		again, err := DecodeRecord(out)
		if err != nil {
			t.Fatalf("%s: %v", out, err)
		}
		twice, _ := json.Marshal(again)
		once, _ := json.Marshal(rec)
		if !bytes.Equal(once, twice) {
			t.Fatalf("%s became %s", once, twice)
		}
	})
}

// A stream of any lines never makes a reader panic, puts a version in force that
// is none of its offsets, or lets one go back. Two that read it from the start
// agree.
func FuzzStream(f *testing.F) {
	f.Fuzz(func(t *testing.T, stream []byte) {
		lines := bytes.Split(stream, []byte("\n"))
		a, b, late := NewSet(), NewSet(), NewSet()
		last := make(map[string]state.Version)
		for i, line := range lines {
			offset := int64(1 + i)
			_, _ = a.Apply(offset, line)
			_, _ = b.Apply(offset, line)
			if i >= len(lines)/2 {
				_, _ = late.Apply(offset, line)
			}
			for _, operator := range a.Operators() {
				cur, _ := a.Operator(operator)
				if cur.Version < last[operator] || int64(cur.Version) > offset {
					t.Fatalf("offset %d: %s went from %d to %d", offset, operator, last[operator], cur.Version)
				}
				last[operator] = cur.Version
				a.Refresh(operator)
				a.Report(operator)
			}
		}
		if a.Digest() != b.Digest() || a.Complete() != b.Complete() {
			t.Fatal("two readers of one stream differ")
		}
	})
}
