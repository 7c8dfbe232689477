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

// echoEntry answers each job with what its tasks ask to have echoed, after bend
// has had its way with the results.
func echoEntry(t *testing.T, bend func(results []json.RawMessage) []json.RawMessage) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var doc any = api.Status{Agents: []api.Agent{{Services: []string{"bench-desk"}, Slots: 8}}}
		if req.Method == http.MethodPost {
			body, _ := io.ReadAll(req.Body)
			job, _, p := api.DecodeJob("bench-desk", "", body)
			if p != nil {
				t.Errorf("no job: %s", p)
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
			doc = api.Answer{ID: job.Key.ID, Outcome: api.Outcome(state.Complete), Results: bend(results)}
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

// An entry that is right, and entries that cut, double and swap results on the
// wire. Scripts learn of it by the exit code alone.
func TestLoadExitsByItsChecks(t *testing.T) {
	is := is.New(t)
	report := filepath.Join(t.TempDir(), "report.json")
	for name, bend := range map[string]func([]json.RawMessage) []json.RawMessage{
		"":        func(r []json.RawMessage) []json.RawMessage { return r },
		"whole":   func(r []json.RawMessage) []json.RawMessage { return r[1:] },
		"own":     func(r []json.RawMessage) []json.RawMessage { r[0], r[1] = r[1], r[0]; return r },
		"own   ":  func(r []json.RawMessage) []json.RawMessage { r[1] = r[0]; return r },
		"whole  ": func(r []json.RawMessage) []json.RawMessage { return append(r, r[0]) },
	} {
		d := newDesk(t, &entry{})
		d.url = echoEntry(t, bend) + "," + echoEntry(t, bend)
		code := d.run("load", "-jobs-per-second", "100", "-tasks-per-job", "2", "-for", "200ms", "-mix", "fixed",
			"-service", "bench-desk", "-work", "0s", "-resubmit", "0.5", "-report", report)
		if name == "" {
			is.Equal(code, ExitDone)
			is.Equal(d.err.String(), "")
			r, err := loadgen.Read(report)
			is.NoErr(err)
			is.True(r.Response.Count > 0 && r.Resubmissions.Sent > 0)
			is.Equal(int(r.Response.Count), r.Jobs)
			is.Equal(d.run("load", "-compare", report, report), ExitDone)
			continue
		}
		is.Equal(code, ExitRefused)
		is.True(strings.Contains(d.out.String(), fmt.Sprintf("check %-8s FAILED", strings.TrimSpace(name))))
		is.Equal(d.run("load", "-compare", report, report), ExitRefused) // a failed check is not forgotten
	}
}

func TestLoadRefusesUnboundedRuns(t *testing.T) {
	is := is.New(t)
	d := newDesk(t, &entry{})
	for _, args := range [][]string{
		{"-rate", "1", "-for", "6m"},
		{"-rate", "1", "-jobs-per-second", "1"},
		{},
		{"-rate", "1", "-mix", "fixed"}, // no service
		{"-rate", "1", "report.json"},
		{"-compare", "one.json"},
	} {
		is.Equal(d.run(append([]string{"load"}, args...)...), ExitUsage)
	}
	is.Equal(d.run("load", "-rate", "1"), ExitRefused) // the entry gives no status
	_, err := os.Stat("report.json")
	is.True(os.IsNotExist(err))
}
