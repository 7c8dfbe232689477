// Package settings holds what a process is told about its place, and checks it.
package settings

import (
	"net"
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

// Settings are what a process is told about its place. The file is JSON with
// comments; unknown keys are refused.
type Settings struct {
	Role string `json:"role"`
	// Name is unique among the processes of a system.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Links is to how many agents a process keeps links, if there are as many; absent:
	// to all. What a job needs beyond them is linked as it comes.
	Links int `json:"links"`

	Listen Listen `json:"listen"`
	Store  Store  `json:"store"`
	Server Server `json:"server"`
	Bounds Bounds `json:"bounds"`
	Limits Limits `json:"limits"`
}

// Listen has the addresses a process serves, IP and port; empty: not served.
type Listen struct {
	// Clients and Ready are an entry's.
	Clients string `json:"clients"`
	Ready   string `json:"ready"`
	// API is the project's own interface, an entry's, on loopback.
	API string `json:"api"`
	// Reports takes the backend server's reports, Links the other processes.
	Reports string `json:"reports"`
	Links   string `json:"links"`
	// LinksAnnounced is where other processes reach Links, if that is another
	// address, as behind a relay.
	LinksAnnounced string `json:"links_announced"`
	Metrics        string `json:"metrics"`
	// Profiles has the metrics address serve profiles of the process too.
	Profiles bool `json:"profiles"`
}

// LinksAddress is the address that other processes are told.
func (l *Listen) LinksAddress() string {
	if l.LinksAnnounced != "" {
		return l.LinksAnnounced
	}
	return l.Links
}

// Store describe the platform's store.
type Store struct {
	Address string `json:"address"`
	// WritesPerSecond is what all processes together may write.
	WritesPerSecond float64 `json:"writes_per_second"`
	// Topics of Partitions each hold the shards of jobs.
	Topics     int `json:"topics"`
	Partitions int `json:"partitions"`
	// MinTTL is the shortest membership the store grants.
	MinTTL time.Duration `json:"min_ttl"`
}

// Server is where an agent's backend server takes calls.
type Server struct {
	Address string `json:"address"`
}

// Bounds are the platform's figures.
type Bounds struct {
	Lease        time.Duration `json:"lease"`
	Grace        time.Duration `json:"grace"`
	Retention    time.Duration `json:"retention"`
	RemoteFactor float64       `json:"remote_factor"`
}

// Limits bound the process.
type Limits struct {
	MemoryMB int `json:"memory_mb"`
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, b)
}

// Parse reads and checks settings. The name stands in errors.
func Parse(name string, b []byte) (*Settings, error) {
	s := &Settings{}
	if err := strictjson.Decode(name, b, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

func (s *Settings) check() error {
	need := map[string]string{"name": s.Name, "store.address": s.Store.Address}
	switch s.Role {
	case RoleEntry:
		need["listen.clients"], need["listen.ready"] = s.Listen.Clients, s.Listen.Ready
	case RoleAgent:
		need["listen.reports"], need["listen.links"], need["server.address"] = s.Listen.Reports, s.Listen.Links, s.Server.Address
	default:
		return errors.Errorf("settings: role %q is neither %q nor %q", s.Role, RoleEntry, RoleAgent)
	}
	for key, value := range need {
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
	if s.Bounds.Lease <= 0 || s.Bounds.Grace <= 0 || s.Bounds.Retention <= 0 {
		return errors.New("settings: bounds.lease, bounds.grace and bounds.retention must be above zero")
	}
	return nil
}

// checkAPI refuses addresses at which the interface would let nobody in, or could
// be read on the way.
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

// Shards is the number of shards that jobs are spread over.
func (s *Settings) Shards() int { return s.Store.Topics * s.Store.Partitions }
