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
	// Raw is the file as the operator wrote it.
	Raw []byte
}

// HistoryEntry is one declaration that was applied.
type HistoryEntry struct {
	Version state.Version `json:"version"`
	// Base is the version that it was to replace.
	Base state.Version `json:"base"`
	// By is the entry that it was handed in at, At the time.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Digest is the SHA-256 of the file, in hexadecimal.
	Digest string `json:"digest"`
}

// History is the answer to a question for an operator's history, newest last.
// Only the last ones are kept.
type History struct {
	Operator string         `json:"operator"`
	Entries  []HistoryEntry `json:"entries"`
}

// OperatorVersion is an operator's version in force.
type OperatorVersion struct {
	Operator string        `json:"operator"`
	Version  state.Version `json:"version"`
	Services []string      `json:"services,omitempty"`
}

// Applied is the answer to an accepted declaration.
type Applied struct {
	Operator string        `json:"operator"`
	Version  state.Version `json:"version"`
	Outcome  Outcome       `json:"outcome"`
}

// Drain is a failure domain as the entry knows it.
type Drain struct {
	Domain  string `json:"domain"`
	Drained bool   `json:"drained"`
	// Agents counts those that are known there.
	Agents int `json:"agents"`
}

// DrainList is the answer to a question for all failure domains.
type DrainList struct {
	Domains []Drain `json:"domains"`
}

// DrainEntry is a drain, or the end of one, that was asked for.
type DrainEntry struct {
	Version state.Version `json:"version"`
	Drained bool          `json:"drained"`
	// By is the entry that it was asked for at, At the time.
	By string    `json:"by"`
	At time.Time `json:"at"`
}

// DrainHistory is the answer to a question for a failure domain's drains, newest last. Only
// the last ones are kept.
type DrainHistory struct {
	Domain  string       `json:"domain"`
	Entries []DrainEntry `json:"entries"`
}

// DrainSet is the answer to a drain that was set or ended.
type DrainSet struct {
	Domain  string        `json:"domain"`
	Drained bool          `json:"drained"`
	Version state.Version `json:"version"`
	Outcome Outcome       `json:"outcome"`
}

// Status is what one entry knows of the system. It is one process's view and
// may lag behind another's.
type Status struct {
	Node     string `json:"node"`
	Software string `json:"software"`
	Ready    bool   `json:"ready"`
	// DrainedDomains are the failure domains in which nothing is newly started.
	DrainedDomains []string          `json:"drained_domains"`
	Agents         []Agent           `json:"agents"`
	Declarations   []OperatorVersion `json:"declarations"`
}

// Agent is an agent with its backend server, as it was said AgeMS ago.
type Agent struct {
	Name         string  `json:"name"`
	Domain       string  `json:"domain"`
	Service      string  `json:"service"`
	Cores        float64 `json:"cores"`
	FreeCores    float64 `json:"free_cores"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators"`
	// Accepts says that it takes new work.
	Accepts bool `json:"accepts"`
	// Drained says that its failure domain is drained.
	Drained bool `json:"drained"`
	// WaitingMS is the work that waits there, in milliseconds of one core.
	WaitingMS int64 `json:"waiting_ms"`
	AgeMS     int64 `json:"age_ms"`
}

// ETag returns a version as an entity tag.
func ETag(v state.Version) string {
	return `"` + strconv.FormatInt(int64(v), 10) + `"`
}

// ParseETag reads an entity tag that ETag wrote. Weak tags, lists and the
// wildcard are no versions.
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

// EncodeDocument returns any of this package's documents as JSON.
func EncodeDocument(v any) ([]byte, error) { return marshal(v) }
