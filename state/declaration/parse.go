package declaration

import (
	"fmt"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/strictjson"
)

// The JSON form of a file. Optional numbers are checked only if the file contains
// them; otherwise the defaults apply.
type (
	fileJSON struct {
		Operator string        `json:"operator"`
		Priority int64         `json:"priority"`
		Quota    quotaJSON     `json:"quota"`
		Services []serviceJSON `json:"services"`
	}
	quotaJSON struct {
		TasksInFlight  int64 `json:"tasks_in_flight"`
		TasksPerSecond int64 `json:"tasks_per_second"`
	}
	serviceJSON struct {
		Name         string        `json:"name"`
		Region       string        `json:"region"`
		TaskDefaults taskJSON      `json:"task_defaults"`
		MaxTasks     int64         `json:"max_tasks"`
		DeadlineMS   int64         `json:"deadline_ms"`
		Repeatable   bool          `json:"repeatable"`
		Placement    placementJSON `json:"placement"`
	}
	taskJSON struct {
		Cores        float64 `json:"cores"`
		MemoryMB     int64   `json:"memory_mb"`
		Accelerators int64   `json:"accelerators"`
		ExpectedMS   int64   `json:"expected_ms"`
	}
	placementJSON struct {
		Domains []string `json:"domains"`
		Racks   []string `json:"racks"`
	}
)

// Parse decodes and checks the file of one operator, which is JSON with comments
// and trailing commas. The name is the file name in errors. The error is of type
// strictjson.Errors and has all errors found, up to a limit.
//
// All processes must accept the same files, because each of them parses the
// declarations in the store again: if a rule became stricter, old and new
// processes would disagree during a rolling upgrade on which declarations are in
// force.
func Parse(name string, src []byte) (*File, error) {
	if len(src) > MaxFileBytes {
		msg := fmt.Sprintf("file of %d bytes is larger than %d", len(src), MaxFileBytes)
		return nil, strictjson.Errors{{File: name, Line: 1, Msg: msg}}
	}
	var in fileJSON
	doc, err := strictjson.DecodeDocument(name, src, &in)
	c := &checker{doc: doc}
	if err != nil && !c.addDecodeErrors(err) {
		return nil, err
	}
	f := c.convertFile(&in)
	if len(c.errs) > 0 {
		return nil, c.firstErrors()
	}
	return f, nil
}

func (c *checker) convertFile(in *fileJSON) *File {
	f := &File{
		Operator: c.requiredName("operator", in.Operator),
		Priority: int(c.optionalNumber("priority", in.Priority, 1, MaxPriority, DefaultPriority)),
		Quota: Quota{
			TasksInFlight:  int(c.requiredNumber("quota.tasks_in_flight", in.Quota.TasksInFlight, 1, MaxTasksInFlight)),
			TasksPerSecond: int(c.requiredNumber("quota.tasks_per_second", in.Quota.TasksPerSecond, 1, MaxTasksPerSecond)),
		},
	}
	c.requireKey("services")
	if len(in.Services) > MaxServices {
		c.addErrorf("services", "%d services are more than %d", len(in.Services), MaxServices)
		return f
	}
	f.Services = c.convertServices(in.Services)
	return f
}

func (c *checker) convertServices(in []serviceJSON) []ServiceSpec {
	out := make([]ServiceSpec, 0, len(in))
	names := make(map[string]bool, len(in))
	for i := range in {
		key := fmt.Sprintf("services[%d]", i)
		s := c.convertService(key, &in[i])
		if names[s.Name] {
			c.addErrorf(key+".name", "service %q stands twice", s.Name)
		}
		names[s.Name] = true
		out = append(out, s)
	}
	return out
}

func (c *checker) convertService(key string, in *serviceJSON) ServiceSpec {
	return ServiceSpec{
		Name:       c.requiredName(key+".name", in.Name),
		Region:     c.requiredName(key+".region", in.Region),
		Task:       c.convertTask(key+".task_defaults", &in.TaskDefaults),
		MaxTasks:   int(c.optionalNumber(key+".max_tasks", in.MaxTasks, 1, state.MaxTasksPerJob, state.MaxTasksPerJob)),
		Deadline:   c.optionalMillis(key+".deadline_ms", in.DeadlineMS, time.Millisecond, MaxDeadline, DefaultDeadline),
		Repeatable: in.Repeatable,
		Placement:  c.convertPlacement(key+".placement", &in.Placement),
	}
}

func (c *checker) convertTask(key string, in *taskJSON) TaskDefaults {
	return TaskDefaults{
		Cores:        c.optionalCores(key+".cores", in.Cores),
		MemoryMB:     c.optionalNumber(key+".memory_mb", in.MemoryMB, 1, MaxMemoryMB, DefaultMemoryMB),
		Accelerators: c.optionalNumber(key+".accelerators", in.Accelerators, 0, MaxAccelerators, 0),
		Expected:     c.optionalMillis(key+".expected_ms", in.ExpectedMS, time.Millisecond, MaxExpected, DefaultExpected),
	}
}

func (c *checker) convertPlacement(key string, in *placementJSON) Placement {
	c.checkCount(key+".domains", len(in.Domains), MaxPlacementNames)
	c.checkCount(key+".racks", len(in.Racks), MaxPlacementNames)
	for i, domain := range in.Domains {
		c.requiredName(fmt.Sprintf("%s.domains[%d]", key, i), domain)
	}
	for i, rack := range in.Racks {
		c.checkRack(fmt.Sprintf("%s.racks[%d]", key, i), rack)
	}
	return Placement{Domains: in.Domains, Racks: in.Racks}
}

// ValidName reports whether s is a valid name of an operator, service, region,
// failure domain or rack. Names are used in URLs, metric labels and stored
// records.
func ValidName(s string) bool {
	if s == "" || len(s) > state.MaxIDLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alnum := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alnum && (i == 0 || c != '-' && c != '_' && c != '.') {
			return false
		}
	}
	return true
}

func validRack(s string) bool {
	domain, rack, ok := strings.Cut(s, "/")
	return ok && ValidName(domain) && ValidName(rack)
}
