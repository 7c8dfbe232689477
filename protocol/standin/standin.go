// Package standin defines the JSON documents with which a measurement reads the
// task starts of a stand-in backend server and injects faults into it. Real
// backend servers don't have these endpoints; docs/MEASURING.md describes them.
package standin

// Paths of the endpoints that a stand-in has in addition to the backend server
// protocol.
const (
	// StartsPath returns Starts to a GET. The query parameter PrefixParameter
	// restricts it to jobs whose ids have that prefix.
	StartsPath      = "/standin/starts"
	PrefixParameter = "prefix"
	// FaultsPath accepts Faults with a PUT.
	FaultsPath = "/standin/faults"
)

// Starts is the number of times that a stand-in has started each task since it
// came up.
type Starts struct {
	Tasks []TaskStarts `json:"tasks"`
}

// TaskStarts is the number of starts of one task. More than one start is an error
// of the sender.
type TaskStarts struct {
	Service string `json:"service"`
	Job     string `json:"job"`
	Step    int    `json:"step"`
	Index   int    `json:"index"`
	Starts  int    `json:"starts"`
}

// Faults are the faults to inject from now on. The zero value injects none.
type Faults struct {
	// FailAll fails every task immediately after its start.
	FailAll bool `json:"fail_all,omitempty"`
	// Refuse refuses every task without starting it.
	Refuse bool `json:"refuse,omitempty"`
	// SlowMS is added to the run time of each task that starts, in milliseconds.
	SlowMS int64 `json:"slow_ms,omitempty"`
}
