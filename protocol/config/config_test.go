package config

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/claim"
	"github.com/shallotstep/shallotstep/state/strictjson"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md")

const page = "../../docs/SETTINGS.md"

const minimalAgent = `"role": "agent", "name": "agent-1", "region": "jeonbuk", "failure_domain": "jeonju",
"log": {"url": "http://127.0.0.1:7499"}`

// An operator mistypes, repeats and misplaces keys. Each fault must be told with
// its line, all at once; none may be passed over, for the operator would believe
// in a setting that isn't in force.
func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	src := `{
  "role": "agent",
  "name": "agent@1",
  "failure_domain": "jeonju",
  "listen": {"http": "0.0.0.0:7402", "peer": "localhost:7401"},
  "tls": {"cert": "c.pem", "key": "k.pem"},
  "log": {"url": "ftp://x", "url": "http://127.0.0.1:7499"},
  "limits": {"queued_tasks": -1, "in_flight_tasks": 9},
  "timeouts": {"drian": "5s", "evict_after": "1s", "lease": 5},
  "retention": {"claims": "1m"},
  "verbosity": 11
}`
	_, err := Parse("a.json", []byte(src))
	want := []string{
		`a.json:1: region: missing`,
		`a.json:3: name: is "agent@1", must be 1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit`,
		`a.json:5: listen.http: 0.0.0.0:7402 is off the loopback interface and needs http_tls.cert and http_tls.key`,
		`a.json:5: listen.peer: is "localhost:7401", must be an IP number and a port, such as 127.0.0.1:7400`,
		`a.json:6: tls.ca: missing: tls.cert, tls.key, tls.ca belong together`,
		`a.json:7: log.url: key stands twice, first in line 7`,
		`a.json:8: limits.in_flight_tasks: is no setting of role agent, but of entry`,
		`a.json:8: limits.queued_tasks: is -1, must be 0 to 10000`,
		`a.json:9: timeouts.drian: unknown key`,
		`a.json:9: timeouts.lease: must be a duration such as "250ms" or "5s", is 5`,
		`a.json:9: timeouts.evict_after: is 1s, must be 10s to 10m`,
		`a.json:10: retention.claims: is 1m, must be at least retention.answers, 10m`,
		`a.json:11: verbosity: is 11, must be 0 to 10`,
	}
	is.True(err != nil)
	is.Equal(strings.Split(err.Error(), "\n"), want)
}

// Without TLS anybody who reaches a port can read and speak; a token in clear
// text can be read on the way. Only the loopback interface is let off.
func TestNothingLeavesTheHostUnprotected(t *testing.T) {
	tls := `, "tls": {"cert": "c", "key": "k", "ca": "a"}`
	http := `, "http_tls": {"cert": "c", "key": "k"}`
	cases := []struct {
		more string
		ok   bool
	}{
		{``, true},
		{`, "listen": {"peer": "[::1]:7401"}`, true},
		{`, "listen": {"peer": "10.0.0.1:7401"}`, false},
		{`, "listen": {"peer": "10.0.0.1:7401"}` + tls, true},
		{`, "listen": {"peer": "0.0.0.0:7401"}` + tls, false}, // nobody can dial 0.0.0.0
		{`, "listen": {"peer": "0.0.0.0:7401"}, "advertise": {"peer": "10.0.0.1:7401"}` + tls, true},
		{`, "advertise": {"peer": "10.0.0.1:7401"}`, false},
		{`, "listen": {"http": "10.0.0.1:7402"}` + tls, false},
		{`, "listen": {"http": "10.0.0.1:7402"}` + http, true},
	}
	for _, c := range cases {
		_, err := Parse("a.json", []byte("{"+minimalAgent+c.more+"}"))
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", c.more, err)
		}
	}
	is := is.New(t)
	is.True(badURL("http://10.0.0.1:7499", true) != "")
	is.Equal(badURL("https://10.0.0.1:7499", true), "")
	is.Equal(badURL("http://10.0.0.1:7499", false), "")
	_, err := Parse("b.json", []byte(`{"role": "standin-log", "name": "log", "listen": {"http": "10.0.0.1:7499"}}`))
	is.True(err != nil)
}

func TestDefaultsAndPaths(t *testing.T) {
	is := is.New(t)
	s, err := Parse("/etc/shallotstep/a.json", []byte("{"+minimalAgent+`, "tokens_file": "tokens.json", "timeouts": {"drain": "5s"}}`))
	is.NoErr(err)
	is.Equal(s.Listen.HTTP, "127.0.0.1:7402")
	is.Equal(s.Advertise.Peer, "127.0.0.1:7401")
	is.Equal(s.Timeouts.Drain, 5*time.Second)
	is.Equal(s.Timeouts.EvictAfter, 15*time.Second)
	is.Equal(s.TokensFile, "/etc/shallotstep/tokens.json")
}

// The table must know every field, or a field would be without default, check
// and documentation.
func TestTableCoversEveryField(t *testing.T) {
	is := is.New(t)
	keys := make(map[string]bool)
	for _, s := range table {
		is.True(!keys[s.key])
		keys[s.key] = true
	}
	var walk func(prefix string, typ reflect.Type)
	walk = func(prefix string, typ reflect.Type) {
		for i := range typ.NumField() {
			key := prefix + typ.Field(i).Tag.Get("json")
			if typ.Field(i).Type.Kind() == reflect.Struct {
				walk(key+".", typ.Field(i).Type)
				continue
			}
			if !keys[key] {
				t.Errorf("no row for %s", key)
			}
			delete(keys, key)
		}
	}
	walk("", reflect.TypeFor[Settings]())
	is.Equal(len(keys), 0)
}

// The example of each role parses, also with everything that it shows in
// comments switched on; so what the page says of names and values is true.
func TestExamplesParse(t *testing.T) {
	for _, role := range Roles {
		if _, err := Parse("example.json", Example(role)); err != nil {
			t.Errorf("%s: %v", role, err)
		}
		full := strings.ReplaceAll(string(Example(role)), `// "`, `"`)
		if _, err := Parse("example.json", []byte(full)); err != nil {
			t.Errorf("%s, all settings: %v", role, err)
		}
	}
}

func TestPageAgreesWithTable(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(page, Page(), 0o644))
	}
	got, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(string(got), string(Page())) // run go test ./protocol/config -update
}

// The files that newcomers start separate processes with must load, and no two
// of one operator may listen on the same address.
func TestExampleFilesLoad(t *testing.T) {
	is := is.New(t)
	var paths []string
	for _, name := range []string{"entry", "agent-?", "log", "backend-?"} {
		found, err := filepath.Glob("../../examples/*/" + name + ".json")
		is.NoErr(err)
		paths = append(paths, found...)
	}
	taken := make(map[string]string)
	for _, path := range paths {
		s, err := Load(path)
		if err != nil {
			t.Errorf("%v", err)
			continue
		}
		for _, addr := range []string{s.Listen.HTTP, s.Listen.Peer} {
			if addr != "" && taken[addr] != "" {
				t.Errorf("%s: %s is taken by %s", path, addr, taken[addr])
			}
			taken[addr] = path
		}
	}
	is.Equal(len(paths), 16)
}

func TestTokensAreChecked(t *testing.T) {
	is := is.New(t)
	good := `{"tokens": [{"secret": "0123456789abcdef", "role": "caller", "operator": "haneul"},
		{"secret": "0123456789abcdeg", "role": "admin"}]}`
	got, err := parseTokens("t.json", []byte(good))
	is.NoErr(err)
	is.Equal(len(got), 2)
	bad := `{"tokens": [{"secret": "short", "role": "caller"},
		{"secret": "0123456789abcdef", "role": "root"},
		{"secret": "0123456789abcdef", "role": "admin", "operator": "haneul"}]}`
	_, err = parseTokens("t.json", []byte(bad))
	var faults strictjson.Errors
	faults, _ = err.(strictjson.Errors)
	is.Equal(len(faults), 5)
	is.True(!strings.Contains(err.Error(), "0123456789abcdef"))
}

// A node made without settings and one made with the defaults must keep claims
// equally long. With two defaults, the promise depended on how it was started.
func TestOneDefaultForClaims(t *testing.T) {
	is := is.New(t)
	i := slices.IndexFunc(table, func(s *setting) bool { return s.key == "retention.claims" })
	var s Settings
	table[i].assign(&s, RoleAgent)
	is.Equal(s.Retention.Claims, claim.DefaultRetention)
}
