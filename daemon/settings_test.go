package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/member"
	"github.com/shallotstep/shallotstep/protocol/config"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// minimal is what a file of each role must name.
var minimal = map[config.Role]map[string]string{
	config.RoleEntry:          {"region": `"r"`, "failure_domain": `"d"`, "log.url": `"http://127.0.0.1:1"`},
	config.RoleAgent:          {"region": `"r"`, "failure_domain": `"d"`, "log.url": `"http://127.0.0.1:1"`},
	config.RoleStandinLog:     {},
	config.RoleStandinBackend: {"standin_backend.agent_url": `"http://127.0.0.1:1"`, "standin_backend.services": `["s"]`},
}

// others holds for each setting that is neither a file nor an address to listen
// on a value other than that of the minimal file.
var others = map[string]string{
	"name":                           `"another"`,
	"region":                         `"elsewhere"`,
	"failure_domain":                 `"elsewhere"`,
	"rack":                           `"rack-2"`,
	"verbosity":                      `3`,
	"advertise.peer":                 `"127.0.0.1:9"`,
	"log.url":                        `"http://127.0.0.1:9"`,
	"limits.in_flight_tasks":         `1000`,
	"limits.entries":                 `3`,
	"limits.processors":              `3`,
	"limits.memory_mb":               `99`,
	"limits.held_mb":                 `9`,
	"limits.queued_tasks":            `9`,
	"limits.waiting_tasks":           `9`,
	"limits.stored_answers_mb":       `9`,
	"limits.stored_results_mb":       `9`,
	"timeouts.log":                   `"9s"`,
	"timeouts.dial":                  `"9s"`,
	"timeouts.idle":                  `"9s"`,
	"timeouts.apply":                 `"9s"`,
	"timeouts.lease":                 `"9s"`,
	"timeouts.evict_after":           `"19s"`,
	"timeouts.drain":                 `"9s"`,
	"retention.answers":              `"9s"`,
	"retention.claims":               `"90m"`,
	"retention.blind":                `"90m"`,
	"retention.log":                  `"90m"`,
	"standin_log.appends_per_second": `9`,
	"standin_log.retention_records":  `9`,
	"standin_log.retention_age":      `"9s"`,
	"standin_backend.agent_url":      `"http://127.0.0.1:9"`,
	"standin_backend.services":       `["t"]`,
	"standin_backend.slots":          `9`,
	"standin_backend.connections":    `9`,
	"standin_backend.cores":          `9`,
	"standin_backend.memory_mb":      `9`,
	"standin_backend.accelerators":   `9`,
	"standin_backend.ttl":            `"9s"`,
}

// missing are the files that stand together in a file that names one of them.
// All are missing, so each in turn must be asked for.
var missing = map[string][]string{
	"log.token_file": nil, "log.ca": nil, "tokens_file": nil, "backend.token_file": nil, "backend.ca": nil,
	"log.cert": {"log.key"}, "log.key": {"log.cert"},
	"http_tls.cert": {"http_tls.key"}, "http_tls.key": {"http_tls.cert"},
	"tls.cert": {"tls.key", "tls.ca"}, "tls.key": {"tls.cert", "tls.ca"}, "tls.ca": {"tls.cert", "tls.key"},
}

// An operator sets a limit; the file is accepted, the page documents it, and the
// daemon goes on with its own default. Nobody notices until the limit is needed:
// so every key of the table must change something that its role works with.
func TestEverySettingReachesSomething(t *testing.T) {
	for _, role := range config.Roles {
		before := reach(t, role, nil)
		for _, key := range config.Keys(role) {
			t.Run(string(role)+"/"+key, func(t *testing.T) {
				if with, isFile := missing[key]; isFile {
					askedFor(t, role, key, with)
					return
				}
				switch key {
				case "role": // the loop itself
				case "listen.http", "listen.peer":
					listensOn(t, role, key)
				case "tls.fleet_names":
					namesReach(t, role)
				default:
					value, ok := others[key]
					if !ok {
						t.Fatal("no value to try")
					}
					if reach(t, role, map[string]string{key: value}) == before {
						t.Error("the setting reaches nothing")
					}
				}
			})
		}
	}
}

// An operator allows no queue at the agents. The options' 0 stands for the
// default, so the agents kept a queue of 2; the machine must get another value.
func TestNoQueueIsNoQueue(t *testing.T) {
	is := is.New(t)
	s := settings(t, config.RoleAgent, map[string]string{"limits.queued_tasks": "0"})
	o := agentOptions(s, &trust{}, metrics.New())
	is.True(o.Node.Admit.QueueLimit < 0)
}

// An append that is still under way when package member takes it that it can no
// longer arrive is appended once more, and a join that arrives late brings an
// evicted incarnation back. The bounds of timeouts.log must rule that out.
func TestAppendsEndBeforeTheyCountAsLost(t *testing.T) {
	is := is.New(t)
	src := `{"role": "entry", "name": "e", "region": "r", "failure_domain": "d", "log": {"url": "http://127.0.0.1:1"}, "timeouts": {"log": %q}}`
	_, err := config.Parse("a.json", fmt.Appendf(nil, src, member.DefaultAppendTimeout))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "timeouts.log"))
}

// settings parses a file of the role with the given keys.
func settings(t *testing.T, role config.Role, keys map[string]string) *config.Settings {
	t.Helper()
	tree := map[string]any{"role": role, "name": "one"}
	for _, set := range []map[string]string{minimal[role], keys} {
		for key, value := range set {
			outer, inner, nested := strings.Cut(key, ".")
			if !nested {
				tree[key] = json.RawMessage(value)
				continue
			}
			group, _ := tree[outer].(map[string]any)
			if group == nil {
				group = make(map[string]any)
				tree[outer] = group
			}
			group[inner] = json.RawMessage(value)
		}
	}
	src, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	s, err := config.Parse("a.json", src)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// varying are addresses in memory and incarnations: different in each run.
var varying = regexp.MustCompile(`0x[0-9a-f]+|@[0-9a-v]{20}|Seed:\d+`)

// reach tells all that a role works with under the given settings.
func reach(t *testing.T, role config.Role, keys map[string]string) string {
	t.Helper()
	is := is.New(t)
	s := settings(t, role, keys)
	trust, err := loadTrust(t.Context(), s)
	is.NoErr(err)
	processors := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(processors)
	memory, err := setUpProcess(s)
	is.NoErr(err)
	defer memory.Stop()
	defer func() { is.NoErr(metrics.SetupLog(0)) }()
	level := 0
	for klog.V(klog.Level(level + 1)).Enabled() {
		level++
	}
	var options any
	switch role {
	case config.RoleEntry:
		options = entryOptions(s, trust, metrics.New())
	case config.RoleAgent:
		options = agentOptions(s, trust, metrics.New())
	case config.RoleStandinLog:
		s.Listen.HTTP = "127.0.0.1:0"
		p, err := newStandinLog(s)
		is.NoErr(err)
		is.NoErr(p.(*standinLog).listener.Close())
		options = []any{p.(*standinLog).name, standinLogOptions(s)}
	case config.RoleStandinBackend:
		p, err := newStandinBackend(s, trust)
		is.NoErr(err)
		options = []any{p.(*standinBackend).name, standinBackendOptions(s, trust)}
	}
	return varying.ReplaceAllString(fmt.Sprintf("%d %d %d %+v", level, runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1), options), "")
}

// askedFor says whether the file is read: the others are there, it is not.
func askedFor(t *testing.T, role config.Role, key string, with []string) {
	is := is.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "absent")
	keys := map[string]string{key: fmt.Sprintf("%q", path)}
	for i, other := range with {
		there := filepath.Join(dir, fmt.Sprint(i))
		is.NoErr(os.WriteFile(there, nil, 0o600))
		keys[other] = fmt.Sprintf("%q", there)
	}
	_, err := loadTrust(t.Context(), settings(t, role, keys))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), path))
}

// listensOn says whether the role wants an address that somebody else has.
func listensOn(t *testing.T, role config.Role, key string) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(free.Close())
	keys := map[string]string{key: fmt.Sprintf("%q", taken.Addr())}
	if role == config.RoleAgent && key == "listen.http" {
		keys["listen.peer"] = fmt.Sprintf("%q", free.Addr())
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p, err := newPart(ctx, settings(t, role, keys))
	if b, ok := p.(*standinBackend); ok && err == nil {
		err = b.server.Start(ctx)
	}
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), taken.Addr().String()))
}

// namesReach looks at the links' proof, which needs certificates that load.
func namesReach(t *testing.T, role config.Role) {
	is := is.New(t)
	dir := t.TempDir()
	keys := fleetFiles(t, dir)
	keys["tls.fleet_names"] = `["fleet.example"]`
	trust, err := loadTrust(t.Context(), settings(t, role, keys))
	is.NoErr(err)
	is.Equal(trust.links.FleetNames, []string{"fleet.example"})
	is.True(linkOptions(settings(t, role, keys), trust).TLS == trust.links)
}
