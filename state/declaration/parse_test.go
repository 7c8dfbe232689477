package declaration

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParseExamples(t *testing.T) {
	is := is.New(t)
	src, err := os.ReadFile("../../examples/haneul/declaration.json")
	is.NoErr(err)
	f, err := Parse("haneul.json", src)
	is.NoErr(err)
	is.Equal(f.Operator, "haneul")
	is.Equal(f.Services[0].Name, "bench-desk")
	is.Equal(f.Services[0].Deadline, 20*time.Second)
	is.Equal(f.Services[0].Placement, Placement{Domains: []string{"jeonju", "iksan", "gunsan"}})

	src, err = os.ReadFile("../../examples/gridlog/declaration.json")
	is.NoErr(err)
	f, err = Parse("gridlog.json", src)
	is.NoErr(err)
	is.Equal(f.Services[0].Region, "kigali")
	is.Equal(f.Services[0].Task.Expected, 150*time.Millisecond)
}

// Guards against errors that are skipped or hide one another: a misspelt quota that
// was ignored would leave the operator without a limit. All errors have to be
// reported at once, each with its line and key.
func TestParseReportsEveryFault(t *testing.T) {
	is := is.New(t)
	src := `// a comment
{
  "operator": "grid log",
  "priority": "high",
  "quota": {"tasks_in_flight": 10.5, "tasks_per_second": 0},
  "services": [
    {
      "name": "yard-logbook",
      "region": "kigali",
      "quoat": 3,
      "name": "again",
      "placement": {"racks": ["r1"]},
    },
    {"name": "yard-logbook"},
  ],
}`
	_, err := Parse("gridlog.json", []byte(src))
	is.True(err != nil)
	want := []string{
		`gridlog.json:3: operator: "grid log" is not a name`,
		`gridlog.json:4: priority: must be an integer of at most 64 bits, is the string "high"`,
		`gridlog.json:5: quota.tasks_in_flight: must be an integer of at most 64 bits, is 10.5`,
		`gridlog.json:5: quota.tasks_per_second: 0 is outside 1 to 1000000`,
		`gridlog.json:10: services[0].quoat: unknown key`,
		`gridlog.json:11: services[0].name: key stands twice, first in line 8`,
		`gridlog.json:12: services[0].placement.racks[0]: want "domain/rack", have "r1"`,
		`gridlog.json:14: services[1].region: key is missing`,
		`gridlog.json:14: services[1].name: service "yard-logbook" stands twice`,
	}
	got := strings.Split(err.Error(), "\n")
	is.Equal(len(got), len(want))
	for i := range want {
		is.True(strings.HasPrefix(got[i], want[i])) // same error at the same place
	}
}

func TestParseSyntaxErrorHasLine(t *testing.T) {
	is := is.New(t)
	_, err := Parse("f.json", []byte("{\n  \"operator\": \"a\"\n  \"quota\": 1\n}"))
	is.True(err != nil)
	is.True(strings.HasPrefix(err.Error(), "f.json:3: "))
}
