package api

import (
	"strconv"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// Declaration is an operator's declaration in force.
type Declaration struct {
	Version state.Version
	// Raw is the declaration file, byte for byte as the operator submitted it.
	Raw []byte
}

// HistoryEntry describes one applied declaration.
type HistoryEntry struct {
	Version state.Version `json:"version"`
	// Base is the version that the declaration replaced.
	Base state.Version `json:"base"`
	// By is the name of the entry that applied the declaration, and At is when.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Digest is the SHA-256 of the file in hexadecimal.
	Digest string `json:"digest"`
}

// History lists an operator's most recent declarations, newest last. Older ones
// are dropped.
type History struct {
	Operator string         `json:"operator"`
	Entries  []HistoryEntry `json:"entries"`
}

// OperatorVersion is the version of an operator's declaration in force.
type OperatorVersion struct {
	Operator string        `json:"operator"`
	Version  state.Version `json:"version"`
	Services []string      `json:"services,omitempty"`
}

// Applied is the response to an accepted declaration.
type Applied struct {
	Operator string        `json:"operator"`
	Version  state.Version `json:"version"`
	Outcome  Outcome       `json:"outcome"`
}

// Drain is the drain state of a failure domain as the entry knows it.
type Drain struct {
	Domain  string `json:"domain"`
	Drained bool   `json:"drained"`
	// Agents is the number of known agents in the domain.
	Agents int `json:"agents"`
}

// DrainList holds the drain state of all known failure domains.
type DrainList struct {
	Domains []Drain `json:"domains"`
}

// DrainEntry describes one change of a failure domain's drain state.
type DrainEntry struct {
	Version state.Version `json:"version"`
	Drained bool          `json:"drained"`
	// By is the name of the entry that made the change, and At is when.
	By string    `json:"by"`
	At time.Time `json:"at"`
}

// DrainHistory lists a failure domain's most recent drain changes, newest last.
// Older ones are dropped.
type DrainHistory struct {
	Domain  string       `json:"domain"`
	Entries []DrainEntry `json:"entries"`
}

// DrainApplied is the response to a request that drains a failure domain or ends its
// drain.
type DrainApplied struct {
	Domain  string        `json:"domain"`
	Drained bool          `json:"drained"`
	Version state.Version `json:"version"`
	Outcome Outcome       `json:"outcome"`
}

// Status is one entry's view of the system. It may be older than the view of
// another entry.
type Status struct {
	Node     string `json:"node"`
	Software string `json:"software"`
	Ready    bool   `json:"ready"`
	// DrainedDomains are the failure domains in which no new tasks are started.
	DrainedDomains []string          `json:"drained_domains"`
	Agents         []Agent           `json:"agents"`
	Declarations   []OperatorVersion `json:"declarations"`
}

// Agent is the state of an agent and its backend server, as last reported AgeMS
// milliseconds ago.
type Agent struct {
	Name         string  `json:"name"`
	Domain       string  `json:"domain"`
	Service      string  `json:"service"`
	Cores        float64 `json:"cores"`
	FreeCores    float64 `json:"free_cores"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators"`
	// Accepts reports whether the agent accepts new work.
	Accepts bool `json:"accepts"`
	// Drained reports whether the agent's failure domain is drained.
	Drained bool `json:"drained"`
	// WaitingMS is the queued work, in milliseconds of one core.
	WaitingMS int64 `json:"waiting_ms"`
	// Speed is the server's speed relative to the others' of its service, by which tasks are
	// placed; absent if speeds aren't considered.
	Speed float64 `json:"speed,omitempty"`
	AgeMS int64   `json:"age_ms"`
}

// ETag returns a version as an entity tag.
func ETag(v state.Version) string {
	return `"` + strconv.FormatInt(int64(v), 10) + `"`
}

// ParseETag parses an entity tag in the exact form that ETag returns. It rejects
// weak tags, lists and the wildcard.
func ParseETag(tag string) (state.Version, bool) {
	inner, ok := strings.CutPrefix(tag, `"`)
	if !ok {
		return 0, false
	}
	inner, ok = strings.CutSuffix(inner, `"`)
	if !ok {
		return 0, false
	}
	v, err := strconv.ParseInt(inner, 10, 64)
	if err != nil || v < 0 || ETag(state.Version(v)) != tag {
		return 0, false
	}
	return state.Version(v), true
}

// EncodeDocument encodes any document of this package as JSON, ending with a
// newline.
func EncodeDocument(v any) ([]byte, error) { return marshal(v) }
