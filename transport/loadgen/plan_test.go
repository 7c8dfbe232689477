package loadgen

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const goodPlan = `{
  "plan": "both",
  "seed": 7,
  "length": "20s",
  "backends": ["http://127.0.0.1:1", "http://127.0.0.1:2"],
  "loads": [
    {"mix": "haneul", "load_percent": 60, "resubmit_share": 0.05},
    {"mix": "gridlog", "tasks_per_second": 20, "token_file": "token"},
  ],
  "phases": [{"at": "5s", "for": "5s", "rate": 4}],
  "steps": [
    {"at": "6s", "cancel_in_flight": true},
    {"at": "7s", "fault": "fail_all", "backend": 2, "for": "3s"},
  ],
}`

func TestParsePlanErrorsNameLineAndKey(t *testing.T) {
	is := is.New(t)
	p, err := ParsePlan("dir/plan.json", []byte(goodPlan))
	is.NoErr(err)
	is.Equal(len(p.Loads), 2)
	is.Equal([]string{p.Loads[0].Service, p.Loads[1].Service}, []string{"bench-desk", "yard-logbook"})
	is.Equal([]any{p.Loads[0].LoadShare, p.Loads[1].Seed, p.Loads[1].Stream}, []any{0.6, uint64(7), uint64(1)})
	is.Equal(p.Loads[1].TokenFile, "dir/token")
	is.Equal(p.Steps[1], Step{At: Duration(7 * time.Second), Fault: FaultFailAll, Backend: 2, For: Duration(3 * time.Second)})
	for _, c := range []struct{ from, to, want string }{
		{`"seed"`, `"sead"`, "plan.json:3: sead: unknown key"},
		{`"plan": "both",`, ``, "plan.json:1: plan: a plan needs a name"},
		{`"20s"`, `"6m"`, "plan.json:4: length: must be"},
		{`"20s"`, `20`, "plan.json:4: length: must be a duration"},
		{`"http://127.0.0.1:2"`, `"127.0.0.1:2"`, "plan.json:5: backends[1]: must be a URL"},
		{`"mix": "haneul"`, `"mix": "other"`, "plan.json:7: loads[0].mix: the mix is"},
		{`"mix": "haneul"`, `"mix": "haneul", "work": "1s"`, "plan.json:7: loads[0].work: only"},
		{`"resubmit_share": 0.05`, `"tasks_per_job": "0"`, "plan.json:7: loads[0].tasks_per_job: "},
		{`"resubmit_share": 0.05`, `"resubmit_share": 1.5`, "plan.json:7: loads[0].resubmit_share: "},
		{`"tasks_per_second": 20`, `"load_percent": 1001`, "plan.json:8: loads[1].load_percent: "},
		{`"mix": "gridlog"`, `"mix": "haneul"`, "service bench-desk has two loads"},
		{`"rate": 4`, `"rate": -1`, "plan.json:10: phases[0].rate: "},
		{`"for": "5s"`, `"for": "16s"`, "plan.json:10: phases[0].for: "},
		{`"cancel_in_flight": true`, `"cancel_in_flight": false`, "plan.json:12: steps[0]: a step has one of"},
		{`"fail_all"`, `"fail_some"`, "plan.json:13: steps[1].fault: "},
		{`"backend": 2`, `"backend": 3`, "plan.json:13: steps[1].backend: "},
	} {
		text := strings.Replace(goodPlan, c.from, c.to, 1)
		is.True(text != goodPlan)
		_, err := ParsePlan("plan.json", []byte(text))
		is.True(err != nil)
		if !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.want, err)
		}
	}
}

// A phase with four times the rate for a quarter of the run must have about four
// times the arrivals, whether the load is given as a rate or as a share of the
// slots, and a phase with rate 0 must have none.
func TestPhasesChangeTheArrivals(t *testing.T) {
	is := is.New(t)
	for _, setRate := range []func(*Config){
		func(c *Config) { c.JobsPerSecond = 50 },
		func(c *Config) { c.JobsPerSecond, c.LoadShare = 0, 0.5 },
	} {
		c := testConfig(t)
		setRate(&c)
		c.Length = Duration(40 * time.Second)
		c.Phases = []Phase{{Duration(10 * time.Second), Duration(10 * time.Second), 4}, {Duration(30 * time.Second), Duration(5 * time.Second), 0}}
		is.NoErr(c.Validate())
		var quiet, burst, none int
		for _, j := range drawJobs(&c, 88) {
			switch at := j.due; {
			case at >= c.Length.D():
				t.Fatal("after the run")
			case at >= 10*time.Second && at < 20*time.Second:
				burst++
			case at >= 30*time.Second && at < 35*time.Second:
				none++
			default:
				quiet++
			}
		}
		is.Equal(none, 0)
		ratio := float64(burst) / 10 / (float64(quiet) / 25)
		is.True(ratio > 3.5 && ratio < 4.5)
	}
}

func TestExamplePlansAreGood(t *testing.T) {
	is := is.New(t)
	names, err := filepath.Glob("../../examples/*/plan*.json")
	is.NoErr(err)
	is.Equal(len(names), 8)
	for _, name := range names {
		src, err := os.ReadFile(name)
		is.NoErr(err)
		_, err = ParsePlan(name, src)
		is.NoErr(err)
	}
}
