package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// retransmit is how long after a missing answer a job is sent again.
const retransmit = 1300 * time.Millisecond

// step is a step of a job as clients submit it.
type step struct {
	Count      int    `json:"count"`
	CPUMillis  int64  `json:"cpu_millis"`
	MemMB      int64  `json:"mem_mb"`
	EstimateMS int64  `json:"estimate_ms"`
	Label      string `json:"required_label,omitempty"`
	// MaxPerServer and DependsOn restrict where and when the tasks run.
	MaxPerServer int   `json:"max_per_server,omitempty"`
	DependsOn    []int `json:"depends_on,omitempty"`
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best_effort,omitempty"`
}

// client sends requests on channels of its own.
type client struct {
	record *record
	http   *http.Client
}

func newClient(r *record) *client {
	return &client{record: r, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}}
}

// answer is the answer to a request. Its status is zero if the channel ended, or the client stopped
// waiting, without an answer.
type answer struct {
	status int
	state  string
	text   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.text)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request to an entry and waits for the answer for a time limit.
func (c *client) call(method string, entry *process, path string, body any, limit time.Duration) answer {
	var text string
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return answer{err: err}
		}
		text = string(b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address(entry.ip, portFront)+path, strings.NewReader(text))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "haneul.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Shallotstep-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	c.record.add("%s %s to %s, limit %v, %d bytes", method, path, entry.name, limit, len(text))
	a := c.do(req)
	c.record.add("%s %s at %s: %s", method, path, entry.name, a)
	return a
}

func (c *client) do(req *http.Request) answer {
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // it was read
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	var in struct {
		State string `json:"state"`
	}
	if json.Unmarshal(b, &in) != nil {
		in.State = ""
	}
	return answer{status: resp.StatusCode, state: in.State, text: strings.TrimSpace(string(b))}
}

// oneTask returns a job with one task.
func oneTask(work, estimate time.Duration, bestEffort bool) jobBody {
	return tasks(1, 1000, work, estimate, bestEffort)
}

// tasks returns a job with one step.
func tasks(count int, cpuMillis int64, work, estimate time.Duration, bestEffort bool) jobBody {
	spec, err := json.Marshal(taskWork{WorkMS: work.Milliseconds(), CPU: cpuMillis})
	if err != nil {
		panic(err) // numbers can always be encoded
	}
	return jobBody{Spec: string(spec), BestEffort: bestEffort, Steps: []step{{Count: count, CPUMillis: cpuMillis, MemMB: 64, EstimateMS: estimate.Milliseconds()}}}
}
