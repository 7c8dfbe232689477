package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// newID returns an ID of a job, as a client draws one.
func newID() string {
	var b [8]byte
	rand.Read(b[:]) //nolint:errcheck // it never fails
	return hex.EncodeToString(b[:])
}

// client sends requests to one entry.
type client struct {
	addr string
	log  *record
	http *http.Client
}

func newClient(addr string, log *record) *client {
	return &client{addr: addr, log: log, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 256}}}
}

// response is the answer to a request; the status is zero if there was none.
type response struct {
	status int
	state  string
	body   string
	err    error
}

func (v response) String() string {
	if v.err != nil {
		return "no answer: " + v.err.Error()
	}
	return fmt.Sprintf("%d %s", v.status, strings.TrimSpace(v.body))
}

// do sends a request with a time limit, which the client also keeps.
func (c *client) do(method, path, body string, limit time.Duration) response {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Host = host
	req.Header.Set("Shallotstep-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // it was read
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{err: err}
	}
	var in struct {
		State string `json:"state"`
	}
	json.Unmarshal(b, &in) //nolint:errcheck // errors have no state
	return response{status: resp.StatusCode, state: in.State, body: string(b)}
}

func get(addr, path string) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	resp.Body.Close() //nolint:errcheck // the body is not used
	return resp.StatusCode
}

// jobBody returns the body of a job with one step of equal tasks.
func jobBody(spec string, bestEffort bool, step map[string]any) string {
	in := map[string]any{"spec": spec, "steps": []any{step}}
	if bestEffort {
		in["best_effort"] = true
	}
	b, _ := json.Marshal(in)
	return string(b)
}
