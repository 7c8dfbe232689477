package session

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// client talks plain HTTP to an entry or an agent.
type client struct {
	t     testing.TB
	base  string
	token string
	http  *http.Client
}

// reply is one answer, or the error of a connection that broke.
type reply struct {
	err    error
	status int
	header http.Header
	body   string
}

func (r reply) String() string {
	if r.err != nil {
		return r.err.Error()
	}
	return fmt.Sprintf("%d %s", r.status, strings.TrimSpace(r.body))
}

// answer is a 200 or a problem document, whichever came.
type answer struct {
	ID      string            `json:"id"`
	Outcome string            `json:"outcome"`
	Reason  state.Reason      `json:"reason"`
	Results []json.RawMessage `json:"results"`
	Version state.Version     `json:"version"`
}

func (r reply) answer(t testing.TB) answer {
	t.Helper()
	if r.err != nil {
		t.Fatalf("no answer: %v", r.err)
	}
	var a answer
	if err := json.Unmarshal([]byte(r.body), &a); err != nil {
		t.Fatalf("the answer %q: %v", r.body, err)
	}
	return a
}

func (c *client) do(ctx context.Context, method, path, body string, header ...string) reply {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return reply{err: err, status: res.StatusCode, header: res.Header, body: string(raw)}
}

func (c *client) get(path string) reply {
	return c.do(context.Background(), http.MethodGet, path, "")
}

func (c *client) submit(body string) reply {
	return c.do(context.Background(), http.MethodPost, "/v1/services/"+service+"/jobs", body)
}

func (c *client) request(body string) reply {
	return c.do(context.Background(), http.MethodPost, "/v1/services/"+service+"/requests", body)
}

// later submits in the background; the channel gives the answer.
func (c *client) later(body string) chan reply {
	out := make(chan reply, 1)
	go func() { out <- c.submit(body) }()
	return out
}

func (c *client) query(id string) reply { return c.get("/v1/services/" + service + "/jobs/" + id) }

func (c *client) cancel(id string) reply {
	return c.do(context.Background(), http.MethodDelete, "/v1/services/"+service+"/jobs/"+id, "")
}

func (c *client) apply(who string, base state.Version, raw []byte) reply {
	name, value := "If-Match", api.ETag(base)
	if base == 0 {
		name, value = "If-None-Match", "*"
	}
	return c.do(context.Background(), http.MethodPut, "/v1/declarations/"+who, string(raw), name, value)
}

func (c *client) status() api.Status {
	c.t.Helper()
	r := c.get("/v1/status")
	if r.status != http.StatusOK {
		c.t.Fatalf("status of %s: %s", c.base, r)
	}
	var doc api.Status
	if err := json.Unmarshal([]byte(r.body), &doc); err != nil {
		c.t.Fatal(err)
	}
	return doc
}

func (c *client) history(who string) []api.HistoryEntry {
	c.t.Helper()
	r := c.get("/v1/declarations/" + who + "/history")
	var h api.History
	if err := json.Unmarshal([]byte(r.body), &h); err != nil {
		c.t.Fatalf("history: %s: %v", r, err)
	}
	return h.Entries
}

// complete fails unless the answer holds every result of a job of job(), in
// order.
func complete(t testing.TB, r reply, id string, tasks int) {
	t.Helper()
	a := r.answer(t)
	if r.status != http.StatusOK || a.Outcome != "complete" || a.ID != id || len(a.Results) != tasks {
		t.Fatalf("%s is not complete: %s", id, r)
	}
	for i, raw := range a.Results {
		if want := fmt.Sprintf("%q", fmt.Sprintf("%s/%d", id, i)); string(raw) != want {
			t.Fatalf("result %d of %s is %s", i, id, raw)
		}
	}
}

// oneOf fails unless the outcome is one of those named.
func oneOf(t testing.TB, r reply, outcomes ...string) answer {
	t.Helper()
	a := r.answer(t)
	for _, o := range outcomes {
		if a.Outcome == o {
			return a
		}
	}
	t.Fatalf("the outcome is none of %v: %s", outcomes, r)
	return a
}
