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
	// Version is the log offset of the record.
	Version state.Version `json:"version"`
	// Base is the version that it was to replace.
	Base     state.Version `json:"base"`
	ApplyID  string        `json:"apply_id,omitempty"`
	Accepted bool          `json:"accepted"`
	// Reason and Detail say why it was refused.
	Reason state.Reason `json:"reason,omitempty"`
	Detail string       `json:"detail,omitempty"`
	// Digest is the SHA-256 of the file, in hexadecimal; empty where the node
	// has not kept it.
	Digest string `json:"digest,omitempty"`
}

// History is the answer to a question for an operator's history, newest last.
// A node knows only what it has read since it came up.
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

// Restored is the answer to a restore of the declarations that is in force.
type Restored struct {
	// Version is the offset of its commit in the stream of declarations.
	Version state.Version `json:"version"`
	Outcome Outcome       `json:"outcome"`
}

// Drained is the answer to an accepted drain.
type Drained struct {
	Node    state.NodeID `json:"node"`
	Outcome Outcome      `json:"outcome"`
}

// Status is what one node knows of the system. It is one node's view and may
// lag behind another's.
type Status struct {
	Node         state.NodeID      `json:"node"`
	Role         string            `json:"role"`
	Software     string            `json:"software"`
	Ready        bool              `json:"ready"`
	Draining     bool              `json:"draining"`
	Epoch        state.Epoch       `json:"epoch"`
	Log          LogStatus         `json:"log"`
	Roster       []Member          `json:"roster"`
	Agents       []Agent           `json:"agents"`
	Declarations []OperatorVersion `json:"declarations"`
	// Readers are all processes known to the node, those first that read the
	// declarations latest.
	Readers []Reader `json:"readers"`
}

// Reader is a process as a reader of the declarations.
type Reader struct {
	ID   state.NodeID `json:"id"`
	Role string       `json:"role"`
	// Heard says that the process has said how far it has read. The rest says
	// nothing otherwise.
	Heard bool `json:"heard"`
	// Version is the offset it had read when it said so, AgeMS ago. Every accepted
	// version up to it is in force there.
	Version int64 `json:"version"`
	AgeMS   int64 `json:"age_ms"`
	// Behind is how many records others had read by then and it had not.
	Behind int64 `json:"behind"`
	// LagMS is how much later than the first process it read its latest record, or
	// how long it has not read the next.
	LagMS int64 `json:"lag_ms"`
	// Late says that the lag is beyond the time in which a change has to be in
	// force.
	Late bool `json:"late"`
	// Complete says that it judges applies.
	Complete bool `json:"complete"`
}

// LogStatus is how far a node has read the platform's log.
type LogStatus struct {
	// Reachable says that the latest read worked.
	Reachable bool           `json:"reachable"`
	Streams   []StreamStatus `json:"streams"`
}

// StreamStatus is a node's place in one stream.
type StreamStatus struct {
	Stream string `json:"stream"`
	// Next is the offset that is read next.
	Next int64 `json:"next"`
	// SilentMS is how long ago the latest read worked.
	SilentMS int64 `json:"silent_ms"`
}

// Member is an agent incarnation that may guard claims.
type Member struct {
	ID     state.NodeID `json:"id"`
	Addr   string       `json:"addr"`
	Region string       `json:"region"`
	Domain string       `json:"domain"`
	Rack   string       `json:"rack"`
}

// MemberOf returns a roster member's document.
func MemberOf(m state.Member) Member {
	return Member{ID: m.ID, Addr: m.Addr, Region: m.Region, Domain: m.Domain, Rack: m.Rack}
}

// Agent is an agent's load as it was said AgeMS ago.
type Agent struct {
	ID           state.NodeID `json:"id"`
	Addr         string       `json:"addr"`
	Region       string       `json:"region"`
	Domain       string       `json:"domain"`
	Rack         string       `json:"rack"`
	Services     []string     `json:"services"`
	Slots        int          `json:"slots"`
	Free         int          `json:"free"`
	Queued       int          `json:"queued"`
	Cores        float64      `json:"cores"`
	MemoryMB     int64        `json:"memory_mb"`
	Accelerators int64        `json:"accelerators"`
	Draining     bool         `json:"draining"`
	Ejected      bool         `json:"ejected"`
	AgeMS        int64        `json:"age_ms"`
}

// AgentOf returns an agent's document; age is how old the news of it is.
func AgentOf(l state.AgentLoad, age time.Duration) Agent {
	return Agent{
		ID:           l.ID,
		Addr:         l.Addr,
		Region:       l.Region,
		Domain:       l.Domain,
		Rack:         l.Rack,
		Services:     l.Services,
		Slots:        l.Slots,
		Free:         l.Free,
		Queued:       l.Queued,
		Cores:        l.Cores,
		MemoryMB:     l.MemoryMB,
		Accelerators: l.Accelerators,
		Draining:     l.Draining,
		Ejected:      l.Ejected,
		AgeMS:        age.Milliseconds(),
	}
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
