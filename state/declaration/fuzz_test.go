package declaration

import (
	"errors"
	"testing"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/strictjson"
)

// Checks for any input that parsing does not panic, that errors are of type Errors
// and limited in number, and that an accepted file keeps the limits that bound the
// memory of every process.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, src []byte) {
		file, err := Parse("f.json", src)
		if err != nil {
			var errs strictjson.Errors
			if !errors.As(err, &errs) || len(errs) == 0 || len(errs) > maxErrors+1 {
				t.Fatalf("the error is not of type Errors, is empty or has too many entries: %v", err)
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
			t.Fatalf("service %q in region %q, duplicate: %t", s.Name, s.Region, names[s.Name])
		}
		names[s.Name] = true
		// The negated comparisons fail for NaN too.
		if !(s.Task.Cores > 0) || !(s.Task.Cores <= MaxCores) || s.Task.MemoryMB < 1 || s.Task.Expected <= 0 {
			t.Fatalf("task %+v", s.Task)
		}
		if s.MaxTasks < 1 || s.MaxTasks > state.MaxTasksPerJob || s.Deadline <= 0 || s.Deadline > MaxDeadline {
			t.Fatalf("max tasks %d, deadline %v", s.MaxTasks, s.Deadline)
		}
		if len(s.Placement.Domains) > MaxPlacementNames || len(s.Placement.Racks) > MaxPlacementNames {
			t.Fatalf("placement %+v", s.Placement)
		}
	}
}
