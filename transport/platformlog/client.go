package platformlog

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination"
)

const (
	// DefaultTimeout bounds one append, and one read beyond its long poll.
	DefaultTimeout = 5 * time.Second
	// maxReplyBytes bounds one reply; it holds the largest batch the service
	// sends (1 MiB of records, in base64) with room to spare.
	maxReplyBytes = 8 << 20
	// idleConnections is one for each stream followed and one for appends.
	idleConnections = 4
	// maxAppends bounds the appends under way at once. Machines append rarely;
	// the bound keeps a slow log from collecting connections and goroutines.
	maxAppends = 16
	// maxDrainBytes is how much of an error reply is read so that the
	// connection can be used again.
	maxDrainBytes = 4 << 10
)

// Options configures a Client.
type Options struct {
	// URL is the service's base URL, http or https.
	URL string
	// Timeout bounds one append, and one read beyond its long poll.
	Timeout time.Duration
	TLS     *tls.Config
	// Token is sent as a bearer token unless empty.
	Token string
	// Dial replaces the dialer; nil means the usual one.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client talks to the log service. It is safe for concurrent use.
type Client struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client
	metrics *metrics
	// appends holds a place for each append under way.
	appends chan struct{}
	// works is told of a confirmed append.
	works signal
}

// New returns a client. It opens no connection yet.
func New(opts Options) *Client {
	timeout := opts.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	dial := opts.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive()}).DialContext
	}
	return &Client{
		base:    strings.TrimRight(opts.URL, "/"),
		token:   opts.Token,
		timeout: timeout,
		metrics: newMetrics(),
		appends: make(chan struct{}, maxAppends),
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         dial,
				TLSClientConfig:     opts.TLS,
				TLSHandshakeTimeout: timeout,
				MaxIdleConnsPerHost: idleConnections,
				IdleConnTimeout:     time.Minute,
				DisableCompression:  true,
			},
			// A redirect would send an append a second time, to a server
			// whose answer says nothing about the first.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// keepAlive finds out within four seconds that the other host is gone. A long
// poll sends nothing for up to pollWait, and a host that vanishes closes no
// connection: without probes a change would stay unseen here for that long.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     2 * time.Second,
		Interval: time.Second,
		Count:    2,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append puts one record at the end of a stream and returns its offset. The
// error is an *ErrRefused or an *ErrUnknown. The client sends the record at
// most once: a connection that breaks after the first byte was handed over
// leaves ErrUnknown, because the service may have taken the record in.
func (c *Client) Append(ctx context.Context, stream coordination.Stream, data []byte) (int64, error) {
	offset, err := c.append(ctx, stream, data)
	if err == nil {
		c.works.give(stream)
	}
	c.metrics.appends.WithLabelValues(string(stream), appendResult(err)).Inc()
	return offset, err
}

func appendResult(err error) string {
	var refused *ErrRefused
	var unknown *ErrUnknown
	switch {
	case errors.As(err, &refused):
		return "refused_" + refused.Reason
	case errors.As(err, &unknown):
		return "unknown_" + unknown.Reason
	}
	return resultOK
}

func (c *Client) append(ctx context.Context, stream coordination.Stream, data []byte) (int64, error) {
	select {
	case c.appends <- struct{}{}:
	default:
		return 0, &ErrRefused{Reason: reasonCrowded, Cause: errors.Errorf("%d appends are under way", maxAppends)}
	}
	defer func() { <-c.appends }()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// Without a connection nothing can have been sent: that alone makes a
	// failed round trip a certain refusal.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, http.MethodPost, recordsPath(stream), bytes.NewReader(data))
	if err != nil {
		return 0, &ErrRefused{Reason: reasonClient, Cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return 0, &ErrRefused{Reason: dialReason(err), Cause: err}
	}
	if err != nil {
		return 0, &ErrUnknown{Reason: transportReason(err), Cause: err}
	}
	defer drain(resp.Body)
	return appendReply(resp)
}

// appendReply judges the reply to an append. Only 4xx, and 503 with
// Retry-After, are the service's own word that it has not taken the record; any
// other failure may come from something between it and us.
func appendReply(resp *http.Response) (int64, error) {
	status := resp.StatusCode
	cause := errors.Errorf("status %d", status)
	switch {
	case status == http.StatusCreated:
		return decodeOffset(resp.Body)
	case status == http.StatusRequestEntityTooLarge:
		return 0, &ErrRefused{Reason: "too_large", Cause: cause}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable && retryAfter(resp) > 0:
		return 0, &ErrRefused{Reason: "unavailable", RetryAfter: retryAfter(resp), Cause: cause}
	case status == http.StatusRequestTimeout:
		return 0, &ErrUnknown{Reason: reasonServer, Cause: cause}
	case status >= 400 && status < 500:
		return 0, &ErrRefused{Reason: reasonClient, Cause: cause}
	}
	return 0, &ErrUnknown{Reason: reasonServer, Cause: cause}
}

func decodeOffset(body io.Reader) (int64, error) {
	var reply struct {
		Offset int64 `json:"offset"`
	}
	err := json.NewDecoder(io.LimitReader(body, maxDrainBytes)).Decode(&reply)
	if err == nil && reply.Offset <= 0 {
		err = errors.New("no offset in reply")
	}
	if err != nil {
		return 0, &ErrUnknown{Reason: reasonReply, Cause: err}
	}
	return reply.Offset, nil
}

func (c *Client) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	req.Header.Set("User-Agent", "shallotstep")
	return req, nil
}

func recordsPath(stream coordination.Stream) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func drain(body io.ReadCloser) {
	// Draining only lets the connection be used again; failing is harmless.
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}
