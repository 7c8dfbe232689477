// Package settings reads and checks the settings file of a process.
package settings

import (
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state/strictjson"
)

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Settings holds the settings of a process. The file is JSON with comments and
// durations as strings such as "250ms". Unknown keys are errors.
type Settings struct {
	// Role is RoleEntry or RoleAgent.
	Role string `json:"role"`
	// Name is unique among the processes of a system.
	Name string `json:"name"`
	// Domain is the failure domain of the process.
	Domain string `json:"zone"`
	// Links is the number of agents that the process keeps connections to. Zero means
	// all. If a job needs other agents, the process connects to them on demand.
	Links int `json:"links"`
	// Seeds are addresses, as IP and port, of hosts with agents. A process that starts without
	// the store asks the agents there for what other processes know. They may be stale.
	Seeds []string `json:"seeds"`

	Listen Listen `json:"listen"`
	Store  Store  `json:"store"`
	Server Server `json:"server"`
	Owners Owners `json:"owners"`
	Bounds Bounds `json:"bounds"`
	Limits Limits `json:"limits"`

	Scheduling Scheduling `json:"scheduling"`
}

// Scheduling switches on the parts of scheduling that a deployment asks for. A part that is absent
// is off.
type Scheduling struct {
	// ServerSpeeds makes agents measure how fast their backend servers are, and owners place
	// tasks by it.
	ServerSpeeds bool `json:"server_speeds"`
	// Shares divides contended capacity between queues; nil: off.
	Shares *Shares `json:"shares"`
	// Shedding gives up accepted work that can't be in time once capacity is lost, and spreads
	// the return of refused clients.
	Shedding bool `json:"shedding"`
}

// Shares holds the settings of the division of contended capacity.
type Shares struct {
	// Floor is the share of the capacity that is divided evenly between all queues that ask for
	// it, before the rest is divided by priority; between 0 and 1.
	Floor float64 `json:"floor"`
}

// Listen holds the addresses that a process listens on, as IP and port. An empty
// address is not served.
type Listen struct {
	// Clients is the address for client requests, Ready the one for readiness
	// probes. Both are for entries.
	Clients string `json:"clients"`
	Ready   string `json:"ready"`
	// API is the address of an entry for the project's own HTTP API. It has to be a
	// loopback address.
	API string `json:"api"`
	// Reports is the address of an agent for the reports of its backend server,
	// Links the one for connections from entries and other agents.
	Reports string `json:"reports"`
	Links   string `json:"links"`
	// LinksAnnounced is the address under which other processes reach Links, if it
	// differs from Links, for example behind a relay.
	LinksAnnounced string `json:"links_announced"`
	Metrics        string `json:"metrics"`
	// Profiles enables the profiling handlers on the metrics address.
	Profiles bool `json:"profiles"`
}

// LinksAddress returns the address that an agent registers for other processes to
// connect to.
func (l *Listen) LinksAddress() string {
	if l.LinksAnnounced != "" {
		return l.LinksAnnounced
	}
	return l.Links
}

// Store holds the settings of the platform's store.
type Store struct {
	Address string `json:"address"`
	// WritesPerSecond is the limit on the write rate of all processes together.
	WritesPerSecond float64 `json:"writes_per_second"`
	// Topics is the number of topics that hold the shards of jobs, and Partitions
	// the number of partitions in each of them.
	Topics     int `json:"topics"`
	Partitions int `json:"partitions"`
	// MinTTL is the shortest group membership that the store grants.
	MinTTL time.Duration `json:"min_ttl"`
}

// Server holds the address on which an agent's backend server accepts calls.
type Server struct {
	Address string `json:"address"`
}

// Owners holds the settings of the agents as owners of recorded jobs.
type Owners struct {
	// StartSpread is the time over which the agents of a system that starts for the
	// first time offer themselves as owners. Zero means at once.
	StartSpread time.Duration `json:"start_spread"`
}

// Bounds holds the timing parameters that the platform defines, and the lease.
type Bounds struct {
	// Lease is for how long the leases of runs are extended. A run whose lease is not
	// renewed in time is killed, and a run on a lost host is in doubt for that long.
	// It is at most MaxLease; zero means the smaller of MaxLease and defaultLease.
	Lease time.Duration `json:"lease"`
	// MaxLease is the longest lease that a backend server grants. Zero means unknown.
	MaxLease time.Duration `json:"max_lease"`
	// ConfigApply is the time within which a new configuration has to be in force.
	// Zero means unknown.
	ConfigApply time.Duration `json:"config_apply"`
	// Grace is how long a process may take to shut down after a signal.
	Grace time.Duration `json:"grace"`
	// Retention is how long the result of an ended job has to be available at
	// least.
	Retention time.Duration `json:"retention"`
	// RemoteFactor is the factor by which a task takes longer outside the rack that
	// holds its input data.
	RemoteFactor float64 `json:"remote_factor"`
}

// Limits holds the resource limits of the process.
type Limits struct {
	// MemoryMB is the soft memory limit of the Go runtime in MiB. Zero means no
	// limit.
	MemoryMB int `json:"memory_mb"`
	// MaxFDs is the number of file descriptors that the process may have open. Zero means
	// that of the system.
	MaxFDs int `json:"max_fds"`
	// ClientConnections is the number of connections that an entry keeps to clients. Zero
	// means as many as the other limits allow.
	ClientConnections int `json:"client_connections"`
	// RequestMemoryMB is the memory for requests in progress in MiB, beyond what each
	// connection is allowed. Zero means a part of MemoryMB.
	RequestMemoryMB int `json:"request_memory_mb"`
}

// minFDs is the least number of descriptors with which a process works.
const minFDs = 400

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, b)
}

// Parse decodes and checks settings. Errors of the decoder contain the given file
// name.
func Parse(name string, b []byte) (*Settings, error) {
	s := &Settings{}
	if err := strictjson.Decode(name, b, s); err != nil {
		return nil, err
	}
	s.setDefaults()
	return s, s.check()
}

// defaultLease tolerates a few lost renewals, which follow each other within 0.1 s.
const defaultLease = time.Second

func (s *Settings) setDefaults() {
	b := &s.Bounds
	if b.Lease != 0 {
		return
	}
	b.Lease = defaultLease
	if b.MaxLease > 0 {
		b.Lease = min(b.Lease, b.MaxLease)
	}
}

func (s *Settings) check() error {
	required := map[string]string{"name": s.Name, "store.address": s.Store.Address}
	switch s.Role {
	case RoleEntry:
		required["listen.clients"], required["listen.ready"] = s.Listen.Clients, s.Listen.Ready
	case RoleAgent:
		required["listen.reports"], required["listen.links"], required["server.address"] = s.Listen.Reports, s.Listen.Links, s.Server.Address
	default:
		return errors.Errorf("settings: role %q is neither %q nor %q", s.Role, RoleEntry, RoleAgent)
	}
	for key, value := range required {
		if value == "" {
			return errors.Errorf("settings: %s is missing", key)
		}
	}
	if err := s.Listen.checkAPI(); err != nil {
		return err
	}
	if s.Links < 0 {
		return errors.New("settings: links must not be negative")
	}
	if s.Store.Topics < 1 || s.Store.Partitions < 1 {
		return errors.New("settings: store.topics and store.partitions must be at least 1")
	}
	if err := s.checkScheduling(); err != nil {
		return err
	}
	if err := s.Limits.check(); err != nil {
		return err
	}
	return s.checkBounds()
}

func (l *Limits) check() error {
	for key, value := range map[string]int{
		"limits.memory_mb": l.MemoryMB, "limits.max_fds": l.MaxFDs,
		"limits.client_connections": l.ClientConnections, "limits.request_memory_mb": l.RequestMemoryMB,
	} {
		if value < 0 {
			return errors.Errorf("settings: %s %d must not be negative", key, value)
		}
	}
	if l.MaxFDs > 0 && l.MaxFDs < minFDs {
		return errors.Errorf("settings: limits.max_fds %d is below %d", l.MaxFDs, minFDs)
	}
	if l.MaxFDs > 0 && l.ClientConnections >= l.MaxFDs {
		return errors.Errorf("settings: limits.client_connections %d is not below limits.max_fds %d", l.ClientConnections, l.MaxFDs)
	}
	if l.MemoryMB > 0 && l.RequestMemoryMB >= l.MemoryMB {
		return errors.Errorf("settings: limits.request_memory_mb %d is not below limits.memory_mb %d", l.RequestMemoryMB, l.MemoryMB)
	}
	return nil
}

func (s *Settings) checkScheduling() error {
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return errors.Errorf("settings: seeds: %q is not an IP address with a port", seed)
		}
	}
	if _, _, err := net.SplitHostPort(s.Listen.Links); len(s.Seeds) > 0 && err != nil {
		return errors.Errorf("settings: listen.links %q has no port at which to ask the seeds", s.Listen.Links)
	}
	if shares := s.Scheduling.Shares; shares != nil && (shares.Floor < 0 || shares.Floor > 1) {
		return errors.Errorf("settings: scheduling.shares.floor %v is not between 0 and 1", shares.Floor)
	}
	return nil
}

func (s *Settings) checkBounds() error {
	b := &s.Bounds
	if b.Lease <= 0 || b.Grace <= 0 || b.Retention <= 0 {
		return errors.New("settings: bounds.lease, bounds.grace and bounds.retention must be above zero")
	}
	if b.MaxLease > 0 && b.Lease > b.MaxLease {
		return errors.Errorf("settings: bounds.lease %v is above bounds.max_lease %v", b.Lease, b.MaxLease)
	}
	for key, value := range map[string]time.Duration{"bounds.max_lease": b.MaxLease, "bounds.config_apply": b.ConfigApply, "owners.start_spread": s.Owners.StartSpread} {
		if value < 0 {
			return errors.Errorf("settings: %s %v must not be negative", key, value)
		}
	}
	return nil
}

// checkAPI reports an error if the API address is not a loopback address. Without
// bearer tokens the API answers loopback clients only, and it is served without
// encryption.
func (l *Listen) checkAPI() error {
	if l.API == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(l.API)
	if err != nil {
		return errors.Wrap(err, "settings: listen.api")
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return errors.Errorf("settings: listen.api: %q is not a loopback address", host)
	}
	return nil
}

// Shards returns the number of shards that jobs are distributed over.
func (s *Settings) Shards() int { return s.Store.Topics * s.Store.Partitions }
