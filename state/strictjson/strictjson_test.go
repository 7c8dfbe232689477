package strictjson

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type inner struct {
	Cert string `json:"cert"`
	Port uint16 `json:"port"`
}

type sample struct {
	Name    string                   `json:"name"`
	Slots   int                      `json:"slots"`
	Share   float64                  `json:"share"`
	Wait    time.Duration            `json:"wait"`
	TLS     *inner                   `json:"tls"`
	Hosts   []inner                  `json:"hosts"`
	Quotas  map[string]int           `json:"quotas"`
	Payload json.RawMessage          `json:"payload"`
	Limits  map[string]time.Duration `json:"limits"`
}

func TestDecodeTakesCommentsAndKeepsDefaults(t *testing.T) {
	is := is.New(t)
	v := sample{Slots: 8}
	src := `{
		// the desk
		"name": "bench", "wait": "250ms", "tls": {"cert": "a.pem"},
		"hosts": [{"port": 1}, {"port": 2},], /* two */
		"quotas": {"haneul": 3}, "payload": {"a": [1, /* c */ 2]},
		"limits": {"x": "1s"},
	}`
	is.NoErr(Decode("s.json", []byte(src), &v))
	is.Equal(v.Slots, 8)
	is.Equal(v.Wait, 250*time.Millisecond)
	is.Equal(v.TLS.Cert, "a.pem")
	is.Equal(v.Hosts[1].Port, uint16(2))
	is.Equal(v.Quotas["haneul"], 3)
	is.Equal(string(v.Payload), `{"a":[1,2]}`)
	is.Equal(v.Limits["x"], time.Second)
}

// Guards against an error that hides another one in the same file: the file has one
// error of each kind, and each has to be reported with its line and key.
func TestDecodeReportsAllFaultsWithLineAndKey(t *testing.T) {
	is := is.New(t)
	src := `{
  "name": 7,
  "Slots": 3,
  "share": "much",
  "wait": 250,
  "tls": {"cert": "a", "cert": "b", "port": 70000},
  "hosts": [{"port": 1},
    {"port": -1, "prot": 2}],
  "quotas": [],
  "name": "again",
  "payload": 1,
  "slots": null
}`
	err := Decode("s.json", []byte(src), &sample{})
	want := []string{
		`s.json:2: name: must be a string, is 7`,
		`s.json:3: Slots: unknown key, write "slots"`,
		`s.json:4: share: must be a number, is the string "much"`,
		`s.json:5: wait: must be a duration such as "250ms" or "5s", is 250`,
		`s.json:6: tls.cert: key stands twice, first in line 6`,
		`s.json:6: tls.port: must be an integer from 0 of at most 16 bits, is 70000`,
		`s.json:8: hosts[1].port: must be an integer from 0 of at most 16 bits, is -1`,
		`s.json:8: hosts[1].prot: unknown key`,
		`s.json:9: quotas: must be an object, is an array`,
		`s.json:10: name: key stands twice, first in line 2`,
		`s.json:12: slots: null is not a value: leave the key out instead`,
	}
	is.True(err != nil)
	is.Equal(strings.Split(err.Error(), "\n"), want)
}

// Guards against a malformed or malicious file that crashes the process: a million
// open brackets would exhaust the stack of the recursive parser, which can't be
// recovered from. Brackets in strings and comments don't count as nesting.
func TestDecodeSurvivesBrokenFiles(t *testing.T) {
	is := is.New(t)
	cases := map[string]string{
		strings.Repeat("[", 1_000_000):      "s.json:1: nested deeper than 64 levels",
		"{\n\"name\": \"a\"\n\"slots\": 1}": "s.json:3: column 1: invalid character '\"' after object value (expecting ',' or '}')",
		"{\n\"name\": \"\xff\"}":            "s.json:2: not valid UTF-8",
		"":                                  "s.json:1: column 1: parsing value: unexpected EOF",
		"[]":                                "s.json:1: must be an object, is an array",
	}
	for src, want := range cases {
		err := Decode("s.json", []byte(src), &sample{})
		is.True(err != nil)
		is.Equal(err.Error(), want)
	}
	open := strings.Repeat("[", 2*MaxDepth)
	is.NoErr(Decode("s.json", []byte("{/*"+open+"*/ \"name\": \"\\\""+open+"\" //"+open+"\n}"), &sample{}))
}

func TestDocumentErrorfReportsLine(t *testing.T) {
	is := is.New(t)
	doc, err := DecodeDocument("s.json", []byte("{\n\"tls\": {\n\"port\": 1},\n\"hosts\": [{}]}"), &sample{})
	is.NoErr(err)
	is.True(doc.Has("tls.port"))
	is.Equal(doc.Errorf("tls.port", "taken").Error(), "s.json:3: tls.port: taken")
	is.Equal(doc.Errorf("tls.cert", "missing").Error(), "s.json:2: tls.cert: missing")
	is.Equal(doc.Errorf("hosts[0].port", "missing").Error(), "s.json:4: hosts[0].port: missing")
	is.Equal(doc.Errorf("name", "missing").Error(), "s.json:1: name: missing")
}
