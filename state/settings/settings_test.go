package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const entrySettings = `{
  "role": "entry", "name": "e", "zone": "jeonju",
  "listen": {"clients": "127.0.0.1:1", "ready": "127.0.0.1:2", "api": "127.0.0.1:3"},
  "store": {"address": "127.0.0.1:4", "writes_per_second": 10, "topics": 1, "partitions": 4, "min_ttl": "500ms"},
  "bounds": {"lease": "1s", "grace": "8s", "retention": "1m", "remote_factor": 1.2},
}`

// Guards against a process that starts with missing or invalid settings and
// misbehaves until somebody notices. Each error has to name the key at fault.
func TestErrorsNameTheKey(t *testing.T) {
	is := is.New(t)
	s, err := Parse("entry.json", []byte(entrySettings))
	is.NoErr(err)
	is.Equal(s.Shards(), 4)
	for _, c := range []struct{ from, to, want string }{
		{`"role": "entry"`, `"role": "home"`, `"home"`},
		{`"name": "e"`, `"name": ""`, "name"},
		{`"clients": "127.0.0.1:1"`, `"clients": ""`, "listen.clients"},
		{`"api": "127.0.0.1:3"`, `"api": "0.0.0.0:3"`, "listen.api"},
		{`"api": "127.0.0.1:3"`, `"api": "nowhere"`, "listen.api"},
		{`"partitions": 4`, `"partitions": 0`, "store.partitions"},
		{`"lease": "1s"`, `"lease": "-1s"`, "bounds.lease"},
		{`"lease": "1s"`, `"lease": "1s", "max_lease": "999ms"`, "bounds.lease 1s"},
		{`"lease": "1s"`, `"lease": "1s", "config_apply": "-1s"`, "bounds.config_apply"},
		{`"bounds"`, `"owners": {"start_spread": "-1s"}, "bounds"`, "owners.start_spread"},
		{`"grace": "8s"`, `"grace": 8`, "bounds.grace"},
		{`"zone"`, `"zoen"`, "zoen"},
		{`"bounds"`, `"seeds": ["host:1"], "bounds"`, "seeds"},
		{`"bounds"`, `"seeds": ["127.0.0.1"], "bounds"`, "seeds"},
		{`"bounds"`, `"seeds": ["127.0.0.1:9"], "bounds"`, `listen.links ""`},
		{`"api": "127.0.0.1:3"}`, `"api": "127.0.0.1:3", "links": "nowhere"}, "seeds": ["127.0.0.1:9"]`, `listen.links "nowhere"`},
		{`"bounds"`, `"scheduling": {"shares": {"floor": -0.1}}, "bounds"`, "scheduling.shares.floor -0.1"},
		{`"bounds"`, `"scheduling": {"shares": {"floor": 1.1}}, "bounds"`, "scheduling.shares.floor 1.1"},
		{`"bounds"`, `"scheduling": {"server_speeds": 1}, "bounds"`, "scheduling.server_speeds"},
		{`"bounds"`, `"scheduling": {"speed": true}, "bounds"`, "speed"},
		{`"bounds"`, `"limits": {"memory_mb": -1}, "bounds"`, "limits.memory_mb -1"},
		{`"bounds"`, `"limits": {"max_fds": -1}, "bounds"`, "limits.max_fds -1"},
		{`"bounds"`, `"limits": {"max_fds": 399}, "bounds"`, "limits.max_fds 399"},
		{`"bounds"`, `"limits": {"max_fds": 400, "client_connections": 400}, "bounds"`, "limits.client_connections 400"},
		{`"bounds"`, `"limits": {"client_connections": -1}, "bounds"`, "limits.client_connections -1"},
		{`"bounds"`, `"limits": {"memory_mb": 64, "request_memory_mb": 64}, "bounds"`, "limits.request_memory_mb 64"},
		{`"bounds"`, `"limits": {"request_memory_mb": -1}, "bounds"`, "limits.request_memory_mb -1"},
	} {
		_, err := Parse("entry.json", []byte(strings.Replace(entrySettings, c.from, c.to, 1)))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), c.want)) // names what is wrong
	}
}

// The longest lease that the platform grants is a bound, not a choice: with a lease of 15 s, the runs
// of a lost host are in doubt for longer than their clients wait.
func TestLeaseIsNoLongerThanNeeded(t *testing.T) {
	is := is.New(t)
	for bounds, want := range map[string]time.Duration{
		`"max_lease": "15s"`:                   defaultLease,
		`"max_lease": "400ms"`:                 400 * time.Millisecond,
		`"lease": "700ms", "max_lease": "15s"`: 700 * time.Millisecond,
	} {
		s, err := Parse("entry.json", []byte(strings.Replace(entrySettings, `"lease": "1s"`, bounds, 1)))
		is.NoErr(err)
		is.Equal(s.Bounds.Lease, want)
	}
}

// Guards against a setting that is missing from the settings page.
func TestEveryKeyIsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	for _, key := range []string{
		"role", "name", "zone", "listen.clients", "listen.ready", "listen.api", "listen.reports", "listen.links", "listen.metrics",
		"store.address", "store.writes_per_second", "store.topics", "store.partitions", "store.min_ttl", "server.address",
		"bounds.lease", "bounds.max_lease", "bounds.config_apply", "owners.start_spread", "bounds.grace", "bounds.retention", "bounds.remote_factor", "limits.memory_mb", "limits.max_fds", "limits.client_connections", "limits.request_memory_mb",
	} {
		is.True(strings.Contains(string(page), "`"+key+"`")) // documented
	}
}
