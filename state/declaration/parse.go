package declaration

import (
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/shallotstep/shallotstep/state"
)

// Parse reads and checks one operator's file: JSON with comments and trailing
// commas. The name stands in errors. The error is an ErrorList with every fault
// found.
func Parse(name string, src []byte) (*File, error) {
	d := &decoder{name: name, src: src}
	root, ok := d.parse()
	if !ok {
		return nil, d.errs
	}
	f := d.file(&root)
	if len(d.errs) > 0 {
		return nil, d.errs.sorted()
	}
	return f, nil
}

func (d *decoder) file(root *hujson.Value) *File {
	f := &File{Priority: DefaultPriority}
	d.object(root, "", []field{
		{"operator", true, func(v *hujson.Value, path string) { f.Operator = d.id(v, path) }},
		{"priority", false, func(v *hujson.Value, path string) { f.Priority = int(d.int(v, path, 1, MaxPriority)) }},
		{"quota", true, func(v *hujson.Value, path string) { f.Quota = d.quota(v, path) }},
		{"services", true, func(v *hujson.Value, path string) { f.Services = d.services(v, path) }},
	})
	return f
}

func (d *decoder) quota(v *hujson.Value, path string) Quota {
	var q Quota
	d.object(v, path, []field{
		{"tasks_in_flight", true, func(v *hujson.Value, path string) {
			q.TasksInFlight = int(d.int(v, path, 1, MaxTasksInFlight))
		}},
		{"tasks_per_second", true, func(v *hujson.Value, path string) {
			q.TasksPerSecond = int(d.int(v, path, 1, MaxTasksPerSecond))
		}},
	})
	return q
}

func (d *decoder) services(v *hujson.Value, path string) []ServiceSpec {
	var out []ServiceSpec
	names := make(map[string]bool)
	d.array(v, path, MaxServices, func(v *hujson.Value, path string) {
		s := d.service(v, path)
		if s.Name != "" && names[s.Name] {
			d.failf(v.StartOffset, path+".name", "service %q stands twice", s.Name)
		}
		names[s.Name] = true
		out = append(out, s)
	})
	return out
}

func (d *decoder) service(v *hujson.Value, path string) ServiceSpec {
	s := ServiceSpec{
		Task:           defaultTask(),
		MaxTasks:       state.MaxTasksPerJob,
		ClaimRetention: DefaultClaimRetention,
		Deadline:       DefaultDeadline,
	}
	d.object(v, path, []field{
		{"name", true, func(v *hujson.Value, path string) { s.Name = d.id(v, path) }},
		{"region", true, func(v *hujson.Value, path string) { s.Region = d.id(v, path) }},
		{"task_defaults", false, func(v *hujson.Value, path string) { s.Task = d.taskDefaults(v, path) }},
		{"max_tasks", false, func(v *hujson.Value, path string) {
			s.MaxTasks = int(d.int(v, path, 1, state.MaxTasksPerJob))
		}},
		{"claim_retention_ms", false, func(v *hujson.Value, path string) {
			s.ClaimRetention = d.millis(v, path, MinClaimRetention, MaxClaimRetention)
		}},
		{"deadline_ms", false, func(v *hujson.Value, path string) {
			s.Deadline = d.millis(v, path, time.Millisecond, MaxDeadline)
		}},
		{"repeatable", false, func(v *hujson.Value, path string) { s.Repeatable = d.bool(v, path) }},
		{"placement", false, func(v *hujson.Value, path string) { s.Placement = d.placement(v, path) }},
	})
	return s
}

func defaultTask() TaskDefaults {
	return TaskDefaults{Cores: DefaultCores, MemoryMB: DefaultMemoryMB, Expected: DefaultExpected}
}

func (d *decoder) taskDefaults(v *hujson.Value, path string) TaskDefaults {
	t := defaultTask()
	d.object(v, path, []field{
		{"cores", false, func(v *hujson.Value, path string) { t.Cores = d.float(v, path, MaxCores) }},
		{"memory_mb", false, func(v *hujson.Value, path string) { t.MemoryMB = d.int(v, path, 1, MaxMemoryMB) }},
		{"accelerators", false, func(v *hujson.Value, path string) { t.Accelerators = d.int(v, path, 0, MaxAccelerators) }},
		{"expected_ms", false, func(v *hujson.Value, path string) {
			t.Expected = d.millis(v, path, time.Millisecond, MaxExpected)
		}},
	})
	return t
}

func (d *decoder) placement(v *hujson.Value, path string) Placement {
	var p Placement
	d.object(v, path, []field{
		{"domains", false, func(v *hujson.Value, path string) {
			d.array(v, path, MaxPlacementNames, func(v *hujson.Value, path string) {
				p.Domains = append(p.Domains, d.id(v, path))
			})
		}},
		{"racks", false, func(v *hujson.Value, path string) {
			d.array(v, path, MaxPlacementNames, func(v *hujson.Value, path string) {
				p.Racks = append(p.Racks, d.rack(v, path))
			})
		}},
	})
	return p
}

// rack decodes "domain/rack".
func (d *decoder) rack(v *hujson.Value, path string) string {
	before := len(d.errs)
	s := d.string(v, path)
	domain, rack, ok := strings.Cut(s, "/")
	if len(d.errs) == before && (!ok || !ValidName(domain) || !ValidName(rack)) {
		d.failf(v.StartOffset, path, "want \"domain/rack\", have %q", s)
	}
	return s
}

// id decodes the name of an operator, service, region or domain.
func (d *decoder) id(v *hujson.Value, path string) string {
	before := len(d.errs)
	s := d.string(v, path)
	if len(d.errs) == before && !ValidName(s) {
		d.failf(v.StartOffset, path,
			"%q is not a name: want 1 to %d of a-z, 0-9, '-', '_', '.', the first a letter or digit", s, state.MaxIDLength)
	}
	return s
}

func (d *decoder) millis(v *hujson.Value, path string, low, high time.Duration) time.Duration {
	return time.Duration(d.int(v, path, low.Milliseconds(), high.Milliseconds())) * time.Millisecond
}

// ValidName reports whether s can name an operator, service, region, failure
// domain or rack. Names stand in URLs, metric labels and stream records.
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
