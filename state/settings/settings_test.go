package settings

import (
	"os"
	"strings"
	"testing"

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
		{`"lease": "1s"`, `"lease": "0s"`, "bounds.lease"},
		{`"grace": "8s"`, `"grace": 8`, "bounds.grace"},
		{`"zone"`, `"zoen"`, "zoen"},
	} {
		_, err := Parse("entry.json", []byte(strings.Replace(entrySettings, c.from, c.to, 1)))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), c.want)) // names what is wrong
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
		"bounds.lease", "bounds.grace", "bounds.retention", "bounds.remote_factor", "limits.memory_mb",
	} {
		is.True(strings.Contains(string(page), "`"+key+"`")) // documented
	}
}
