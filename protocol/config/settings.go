// Package config holds a daemon's settings: the types, the table that defines
// each setting once (its roles, default, bounds and text), and the checks. The
// page docs/SETTINGS.md and the example files are made from the same table.
package config

import "time"

// Role is what a daemon does.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	// RoleStandinLog and RoleStandinBackend are small stand-ins of the
	// platform's log and of a backend server, for trying out separate processes.
	RoleStandinLog     Role = "standin-log"
	RoleStandinBackend Role = "standin-backend"
)

// Roles lists every role.
var Roles = []Role{RoleEntry, RoleAgent, RoleStandinLog, RoleStandinBackend}

// Settings is what a daemon is told in its settings file. Parse sets defaults,
// so a value that the file leaves out reads as documented.
type Settings struct {
	Role Role `json:"role"`
	// Name is the daemon's own name, the same after a restart. With an
	// incarnation it makes the node id.
	Name string `json:"name"`
	// Region, Domain and Rack say where the daemon stands.
	Region string `json:"region"`
	Domain string `json:"failure_domain"`
	Rack   string `json:"rack"`

	Listen    Listen    `json:"listen"`
	Advertise Advertise `json:"advertise"`
	Log       Log       `json:"log"`
	// TLS is for the links between daemons.
	TLS PeerTLS `json:"tls"`
	// HTTPTLS is for the HTTP listener.
	HTTPTLS HTTPTLS `json:"http_tls"`
	// TokensFile holds the bearer tokens of callers and operators.
	TokensFile string `json:"tokens_file"`
	// Backend is how an agent and its backend server talk.
	Backend   Backend   `json:"backend"`
	Limits    Limits    `json:"limits"`
	Timeouts  Timeouts  `json:"timeouts"`
	Retention Retention `json:"retention"`
	// Verbosity is klog's level; 0 logs what an operator must see.
	Verbosity int `json:"verbosity"`

	StandinLog     StandinLog     `json:"standin_log"`
	StandinBackend StandinBackend `json:"standin_backend"`
}

// Listen holds the addresses to listen on, as IP:port.
type Listen struct {
	HTTP string `json:"http"`
	Peer string `json:"peer"`
}

// Advertise holds the addresses that others reach this daemon at.
type Advertise struct {
	Peer string `json:"peer"`
}

// Log says how to reach the platform's log.
type Log struct {
	URL string `json:"url"`
	// TokenFile holds the bearer token; empty sends none.
	TokenFile string `json:"token_file"`
	// CA, Cert and Key are PEM files for https.
	CA   string `json:"ca"`
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// PeerTLS names PEM files for mutual authentication.
type PeerTLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
	// FleetNames are DNS names that a certificate may bear instead of the name
	// of its node.
	FleetNames []string `json:"fleet_names"`
}

// Enabled tells whether the files are set.
func (t PeerTLS) Enabled() bool { return t.Cert != "" }

// HTTPTLS names PEM files of an HTTP server.
type HTTPTLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// Enabled tells whether the files are set.
func (t HTTPTLS) Enabled() bool { return t.Cert != "" }

// Backend says how an agent and its backend server trust each other.
type Backend struct {
	// TokenFile holds the bearer token that both sides use.
	TokenFile string `json:"token_file"`
	// CA is the PEM file that an https backend server's certificate leads to.
	CA string `json:"ca"`
}

// Limits bound what a daemon takes in.
type Limits struct {
	InFlightTasks   int `json:"in_flight_tasks"`
	Entries         int `json:"entries"`
	HeldMB          int `json:"held_mb"`
	QueuedTasks     int `json:"queued_tasks"`
	WaitingTasks    int `json:"waiting_tasks"`
	StoredAnswersMB int `json:"stored_answers_mb"`
	StoredResultsMB int `json:"stored_results_mb"`
	// MemoryMB is the soft limit of Go's collector in MiB; 0 is none.
	MemoryMB int `json:"memory_mb"`
	// Processors is how many run Go code at once; 0 is all of the host.
	Processors int `json:"processors"`
}

// Timeouts bound how long a daemon waits.
type Timeouts struct {
	Log        time.Duration `json:"log"`
	Dial       time.Duration `json:"dial"`
	Idle       time.Duration `json:"idle"`
	Apply      time.Duration `json:"apply"`
	Lease      time.Duration `json:"lease"`
	EvictAfter time.Duration `json:"evict_after"`
	Drain      time.Duration `json:"drain"`
}

// Retention says how long things are kept.
type Retention struct {
	Answers time.Duration `json:"answers"`
	Claims  time.Duration `json:"claims"`
	Blind   time.Duration `json:"blind"`
	Log     time.Duration `json:"log"`
}

// StandinLog sets up the stand-in of the platform's log.
type StandinLog struct {
	AppendsPerSecond int           `json:"appends_per_second"`
	RetentionRecords int           `json:"retention_records"`
	RetentionAge     time.Duration `json:"retention_age"`
}

// StandinBackend sets up the stand-in of a backend server.
type StandinBackend struct {
	AgentURL     string        `json:"agent_url"`
	Services     []string      `json:"services"`
	Slots        int           `json:"slots"`
	Connections  int           `json:"connections"`
	Cores        float64       `json:"cores"`
	MemoryMB     int64         `json:"memory_mb"`
	Accelerators int64         `json:"accelerators"`
	TTL          time.Duration `json:"ttl"`
}
