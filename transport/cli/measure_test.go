package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/loadgen"
)

// echoEntry starts a fake entry that answers each job with the echo fields of its tasks, after alter
// has changed the results. It returns the URL.
func echoEntry(t *testing.T, alter func(results []json.RawMessage) []json.RawMessage) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var doc any = api.Status{Agents: []api.Agent{{Service: "bench-desk", Cores: 8, FreeCores: 8, Accepts: true}}}
		if req.Method == http.MethodPost {
			body, _ := io.ReadAll(req.Body)
			job, _, p := api.DecodeJob("bench-desk", "", body)
			if p != nil {
				t.Errorf("the body is not a valid job: %s", p)
				return
			}
			var results []json.RawMessage
			for _, task := range job.Tasks {
				var work struct {
					Echo json.RawMessage `json:"echo"`
				}
				if err := json.Unmarshal(task.Payload, &work); err != nil {
					t.Error(err)
				}
				results = append(results, work.Echo)
			}
			doc = api.Answer{ID: job.Key.ID, Outcome: api.Outcome(state.Complete), Results: alter(results)}
		}
		body, err := api.EncodeDocument(doc)
		if err != nil {
			t.Error(err)
		}
		w.Header().Set("Content-Type", api.ContentTypeJSON)
		w.Write(body)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// One entry returns correct results, others drop, duplicate or swap them. The exit code must report
// the failed checks, because scripts read nothing else.
func TestMeasureExitCodeReportsFailedChecks(t *testing.T) {
	is := is.New(t)
	report := filepath.Join(t.TempDir(), "report.json")
	for name, alter := range map[string]func([]json.RawMessage) []json.RawMessage{
		"":        func(r []json.RawMessage) []json.RawMessage { return r },
		"whole":   func(r []json.RawMessage) []json.RawMessage { return r[1:] },
		"own":     func(r []json.RawMessage) []json.RawMessage { r[0], r[1] = r[1], r[0]; return r },
		"own   ":  func(r []json.RawMessage) []json.RawMessage { r[1] = r[0]; return r },
		"whole  ": func(r []json.RawMessage) []json.RawMessage { return append(r, r[0]) },
	} {
		cli := newTestCLI(t, &fakeEntry{})
		cli.url = echoEntry(t, alter) + "," + echoEntry(t, alter)
		plan := cli.file("plan.json", shortPlan)
		code := cli.run("measure", "-plan", plan, "-report", report)
		if name == "" {
			is.Equal(code, ExitDone)
			is.Equal(cli.err.String(), "")
			m, err := loadgen.Read(report)
			is.NoErr(err)
			r := m.Loads[0]
			is.True(r.Response.Count > 0 && r.Resubmissions.Sent > 0)
			is.Equal(int(r.Response.Count), r.Jobs)
			is.Equal(cli.run("measure", "-compare", report, report), ExitDone)
			continue
		}
		is.Equal(code, ExitRefused)
		is.True(strings.Contains(cli.out.String(), fmt.Sprintf("check %-8s FAILED", strings.TrimSpace(name))))
		is.Equal(cli.run("measure", "-compare", report, report), ExitRefused) // the report still has the failed check
	}
}

// shortPlan is a valid plan of 200 ms.
const shortPlan = `{
  "plan": "small", // the name
  "length": "200ms",
  "loads": [{"service": "bench-desk", "jobs_per_second": 100, "tasks_per_job": "2", "mix": "fixed", "work": "0s", "resubmit_share": 0.5}],
}`

func TestMeasureRefusesUnboundedRuns(t *testing.T) {
	is := is.New(t)
	cli := newTestCLI(t, &fakeEntry{})
	invalid := 0
	plan := func(change, to string) string {
		invalid++
		text := strings.Replace(shortPlan, change, to, 1)
		is.True(text != shortPlan)
		return cli.file(fmt.Sprintf("spoiled-%d.json", invalid), text)
	}
	for _, name := range []string{
		plan(`"length": "200ms"`, `"length": "6m"`),
		plan(`"length": "200ms"`, `"length": "6m", "lenth": "1s"`),
		plan(`"jobs_per_second": 100`, `"jobs_per_second": 100, "tasks_per_second": 1`),
		plan(`"jobs_per_second": 100, `, ``),
		plan(`"service": "bench-desk", `, ``), // the mix doesn't name a service either
		plan(`"plan": "small", `, ``),
		"none.json",
	} {
		is.Equal(cli.run("measure", "-plan", name), ExitUsage)
		is.True(strings.Contains(cli.err.String(), name))
	}
	for _, args := range [][]string{{}, {"-plan", cli.file("plan.json", shortPlan), "report.json"}, {"-compare", "one.json"}, {"-load-plot", "a.svg"}} {
		is.Equal(cli.run(append([]string{"measure"}, args...)...), ExitUsage)
	}
	is.Equal(cli.run("measure", "-plan", cli.file("plan.json", shortPlan)), ExitRefused) // the entry returns no status
	_, err := os.Stat("report.json")
	is.True(os.IsNotExist(err))
}

// The command check reports an error in a plan with its line and key, as for every other file.
func TestCheckNamesTheLineOfAPlanError(t *testing.T) {
	is := is.New(t)
	cli := newTestCLI(t, &fakeEntry{})
	good := cli.file("plan.json", shortPlan)
	is.Equal(cli.run("check", good), ExitDone)
	is.Equal(cli.out.String(), good+": ok, a plan\n")
	bad := cli.file("bad.json", strings.Replace(shortPlan, `"jobs_per_second"`, `"job_per_second"`, 1))
	is.Equal(cli.run("check", bad), ExitRefused)
	is.True(strings.Contains(cli.out.String(), bad+":4: loads[0].job_per_second: unknown key"))
}

// The plots of -load-plot are drawn from report files alone, without a request to an entry.
func TestPlotsAreDrawnFromFiles(t *testing.T) {
	is := is.New(t)
	cli := newTestCLI(t, &fakeEntry{})
	entryURL := cli.url
	cli.url = echoEntry(t, func(r []json.RawMessage) []json.RawMessage { return r })
	report, run := filepath.Join(cli.dir, "report.json"), filepath.Join(cli.dir, "run.svg")
	is.Equal(cli.run("measure", "-plan", cli.file("plan.json", shortPlan), "-report", report, "-plot", run), ExitDone)
	cli.url = entryURL
	loads := filepath.Join(cli.dir, "loads.svg")
	is.Equal(cli.run("measure", "-load-plot", loads, report, report), ExitDone)
	for _, name := range []string{run, loads} {
		text, err := os.ReadFile(name)
		is.NoErr(err)
		is.True(strings.Contains(string(text), "<svg") && strings.HasSuffix(strings.TrimSpace(string(text)), "</svg>"))
	}
}
