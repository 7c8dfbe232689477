package declaration

import (
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// Limits on a declaration. They bound the memory that every process needs for the
// declarations of all operators, 280 of them.
const (
	// MaxFileBytes is the largest file, in bytes.
	MaxFileBytes = 64 << 10
	// MaxServices is the largest number of services in one file.
	MaxServices = 256
	// MaxOwnedServices is the largest number of service names that an operator may
	// own, including those that its current file no longer declares.
	MaxOwnedServices = 1024
	// MaxPlacementNames is the largest number of failure domains or of racks in one
	// placement.
	MaxPlacementNames = 64
	// MaxPriority is the highest priority; 1 is the lowest.
	MaxPriority = 100
	// MaxTasksInFlight and MaxTasksPerSecond are the largest values of a quota.
	MaxTasksInFlight  = 1_000_000
	MaxTasksPerSecond = 1_000_000
	// MaxCores, MaxMemoryMB and MaxAccelerators are the largest resource demand of a
	// task.
	MaxCores        = 1024
	MaxMemoryMB     = 16 << 20
	MaxAccelerators = 64
	// MaxExpected is the longest expected run time of a task.
	MaxExpected = 10 * time.Minute
	// MaxDeadline is the longest default deadline.
	MaxDeadline = time.Hour
)

// Defaults of optional keys.
const (
	DefaultPriority = 50
	DefaultDeadline = 30 * time.Second
	DefaultCores    = 1
	DefaultMemoryMB = 512
	DefaultExpected = 500 * time.Millisecond
)

// File is the complete declaration of one operator.
type File struct {
	Operator string
	// Priority is the priority of the operator's jobs under load, from 1 (lowest) to
	// MaxPriority.
	Priority int
	Quota    Quota
	Services []ServiceSpec
}

// Quota limits the tasks of an operator, over all its services.
type Quota struct {
	// TasksInFlight is the largest number of accepted tasks that are not yet
	// answered.
	TasksInFlight int
	// TasksPerSecond is the largest number of tasks accepted per second.
	TasksPerSecond int
}

// ServiceSpec is one service as declared.
type ServiceSpec struct {
	Name string
	// Region is where the service runs. It is fixed at creation.
	Region string
	// Task has the defaults for values that a submitted task omits.
	Task TaskDefaults
	// MaxTasks is the largest number of tasks in one job.
	MaxTasks int
	// Deadline is the default for submissions without a deadline.
	Deadline time.Duration
	// Repeatable is the default for submissions that don't state whether they are
	// repeatable.
	Repeatable bool
	Placement  Placement
}

// TaskDefaults holds the default resource demand and run time of a task.
type TaskDefaults struct {
	Cores        float64
	MemoryMB     int64
	Accelerators int64
	Expected     time.Duration
}

// Placement restricts where tasks run. An empty list is no restriction.
type Placement struct {
	// Domains are failure domains in the service's region.
	Domains []string
	// Racks are racks in the form "domain/rack", because rack names are unique only
	// within a failure domain.
	Racks []string
}

// Apply sets the values that a submitted task omits to the defaults.
func (d *TaskDefaults) Apply(t *state.Task) {
	if t.Cores == 0 {
		t.Cores = d.Cores
	}
	if t.MemoryMB == 0 {
		t.MemoryMB = d.MemoryMB
	}
	if t.Accelerators == 0 {
		t.Accelerators = d.Accelerators
	}
	if t.Expected == 0 {
		t.Expected = d.Expected
	}
}
