package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

const (
	// agentTimeout bounds one call to the agent.
	agentTimeout = time.Second
	// agentPause is the pause after a failed call and between two looks at
	// how many tasks still run.
	agentPause = 100 * time.Millisecond
	// leaveTries is how often a DELETE is sent to an agent that does not
	// answer. After that the server drains by itself.
	leaveTries = 3
	// maxAgentReply bounds one answer of the agent.
	maxAgentReply = 64 << 10
)

// errConflict means that the agent takes this ID no more.
var errConflict = errors.New("the agent has seen this backend server leave")

// agentClient talks to the agent's own interface.
type agentClient struct {
	url   string
	token string
	http  *http.Client
}

func newAgentClient(opts Options) *agentClient {
	return &agentClient{
		url:   strings.TrimSuffix(opts.AgentURL, "/") + wire.BackendPath + url.PathEscape(opts.ID),
		token: opts.Token,
		http:  &http.Client{Timeout: agentTimeout, Transport: &http.Transport{IdleConnTimeout: time.Minute}},
	}
}

// call makes one call about this backend server. All three methods are
// idempotent.
func (a *agentClient) call(ctx context.Context, method string, in any) (wire.BackendState, error) {
	var st wire.BackendState
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return st, errors.WithStack(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, a.url, body)
	if err != nil {
		return st, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if a.token != "" {
		req.Header.Set("Authorization", "Bearer "+a.token)
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return st, errors.WithStack(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAgentReply))
	switch {
	case err != nil:
		return st, errors.WithStack(err)
	case resp.StatusCode == http.StatusConflict:
		return st, errConflict
	case resp.StatusCode >= http.StatusMultipleChoices:
		return st, errors.Errorf("agent answered %s: %s", resp.Status, data)
	}
	return st, errors.WithStack(json.Unmarshal(data, &st))
}

func (s *Server) announcement() wire.Announcement {
	return wire.Announcement{
		URL:          s.URL(),
		Services:     s.opts.Services,
		Slots:        s.opts.Slots,
		Connections:  s.opts.Connections,
		Cores:        s.opts.Cores,
		MemoryMB:     s.opts.MemoryMB,
		Accelerators: s.opts.Accelerators,
		TTLMS:        s.opts.TTL.Milliseconds(),
	}
}

// announce announces the server and renews in time until ctx ends.
func (s *Server) announce(ctx context.Context) {
	for s.thaw(ctx) {
		st, err := s.agent.call(ctx, http.MethodPut, s.announcement())
		pause := agentPause
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errConflict):
			klog.ErrorS(err, "Backend server stand-in is announced no more", "backend", s.opts.ID)
			return
		case err != nil:
			klog.V(1).InfoS("Announcement failed", "backend", s.opts.ID, "err", err)
		default:
			s.markAnnounced()
			pause = max(time.Duration(st.RenewAfterMS)*time.Millisecond, time.Millisecond)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// markAnnounced is called by the announcing goroutine alone.
func (s *Server) markAnnounced() {
	select {
	case <-s.announced:
	default:
		close(s.announced)
	}
}

// leave tells the agent and waits until it waits for no more task here.
func (s *Server) leave(ctx context.Context) {
	st, err := s.withdraw(ctx)
	for err == nil && st.Running > 0 {
		if !sleep(ctx, agentPause) {
			return
		}
		st, err = s.agent.call(ctx, http.MethodGet, nil)
	}
	if err != nil {
		klog.ErrorS(err, "Agent not heard while leaving; draining alone", "backend", s.opts.ID)
	}
}

func (s *Server) withdraw(ctx context.Context) (st wire.BackendState, err error) {
	for range leaveTries {
		st, err = s.agent.call(ctx, http.MethodDelete, nil)
		if err == nil || !sleep(ctx, agentPause) {
			return st, err
		}
	}
	return st, err
}
