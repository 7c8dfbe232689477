// Package httpclient is the Go client of an entry's HTTP API. If a reply is lost, incomplete or
// inconsistent, the outcome that it reports is state.Unknown.
package httpclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// maxReplyBytes bounds the body of one reply. It fits a thousand results of 256 KiB.
const maxReplyBytes = 256 << 20

// Options configures a Client.
type Options struct {
	// Addr is the entry's host:port or base URL. Without a scheme, https is used if CA is
	// set and http otherwise.
	Addr string
	// Token is the bearer token. If it is empty, no Authorization header is sent.
	Token string
	// CA, if set, replaces the certificate authorities of the host.
	CA *x509.CertPool
	// Sleep waits between attempts and returns an error if ctx ends before. Nil means
	// pause.For.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Client calls one entry. It is safe for concurrent use.
type Client struct {
	base  *url.URL
	token string
	http  *http.Client
	sleep func(ctx context.Context, d time.Duration) error
}

// New returns a client for the entry at o.Addr. It returns an error if that is not an address.
func New(o Options) (*Client, error) {
	addr := o.Addr
	if !strings.Contains(addr, "://") {
		scheme := "http://"
		if o.CA != nil {
			scheme = "https://"
		}
		addr = scheme + addr
	}
	base, err := url.Parse(addr)
	if err != nil || base.Host == "" {
		return nil, errors.Errorf("entry address %q is neither host:port nor a URL with a host", o.Addr)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	// The token must not be sent to a proxy.
	transport.Proxy = nil
	if o.CA != nil {
		transport.TLSClientConfig = &tls.Config{RootCAs: o.CA, MinVersion: tls.VersionTLS12}
	}
	sleep := o.Sleep
	if sleep == nil {
		sleep = pause.For
	}
	return &Client{base: base, token: o.Token, http: &http.Client{Transport: transport}, sleep: sleep}, nil
}

// Failure is the reason why a call returned no answer.
type Failure struct {
	// Outcome is what is known about the requested operation.
	Outcome state.Outcome
	// Problem is the problem document from the entry, or nil if there is none.
	Problem *api.Problem
	// Err is the error of the client, or nil if Problem is set.
	Err error
	// NotSent is true if no byte of the request was sent.
	NotSent bool
}

// String returns the failure as one line of text.
func (f *Failure) String() string {
	if f.Problem != nil {
		return f.Problem.String()
	}
	if f.NotSent {
		return "not sent: " + f.Err.Error()
	}
	return f.Outcome.String() + ": " + f.Err.Error()
}

// RetryAfter returns how long the entry asks the client to wait before a retry, or zero.
func (f *Failure) RetryAfter() time.Duration {
	if f.Problem == nil {
		return 0
	}
	return f.Problem.RetryAfter
}

// call describes one HTTP request. The segments of path are escaped one by one.
type call struct {
	method string
	path   []string
	body   []byte
	header http.Header
}

// reply is a complete HTTP response with status 200.
type reply struct {
	header http.Header
	body   []byte
}

// do sends one request. A response that is neither a complete 200 nor a problem document leaves
// the outcome unknown.
func (c *Client) do(ctx context.Context, k call) (reply, *Failure) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := c.request(ctx, k)
	if err != nil {
		return reply{}, &Failure{Outcome: state.Unknown, Err: err, NotSent: true}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return reply{}, &Failure{Outcome: state.Unknown, Err: err, NotSent: !sent.Load()}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err != nil {
		return reply{}, unknownOutcome(errors.Wrap(err, "the reply broke off"))
	}
	if len(body) > maxReplyBytes {
		return reply{}, unknownOutcome(errors.Errorf("the reply is over %d bytes", maxReplyBytes))
	}
	if res.StatusCode == http.StatusOK {
		return reply{header: res.Header, body: body}, nil
	}
	return reply{}, failureFromResponse(res, body)
}

func (c *Client) request(ctx context.Context, k call) (*http.Request, error) {
	escaped := make([]string, len(k.path))
	for i, segment := range k.path {
		escaped[i] = url.PathEscape(segment)
	}
	target := strings.TrimSuffix(c.base.String(), "/") + "/" + strings.Join(escaped, "/")
	req, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(k.body))
	if err != nil {
		return nil, err
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	if k.body != nil {
		req.Header.Set("Content-Type", api.ContentTypeJSON)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

func unknownOutcome(err error) *Failure {
	return &Failure{Outcome: state.Unknown, Err: err}
}

// failureFromResponse decodes a problem document. Any other response, such as the error page of
// a load balancer, leaves the outcome unknown.
func failureFromResponse(res *http.Response, body []byte) *Failure {
	mediaType, _, _ := mime.ParseMediaType(res.Header.Get("Content-Type"))
	if mediaType != api.ContentTypeProblem {
		return unknownOutcome(errors.Errorf("the reply has status %s and is no problem document", res.Status))
	}
	var p api.Problem
	if err := json.Unmarshal(body, &p); err != nil {
		return unknownOutcome(errors.Wrap(err, "the problem document can't be read"))
	}
	return &Failure{Outcome: p.Outcome, Problem: &p}
}

// callJSON sends a request and decodes the JSON document in the response.
func callJSON[T any](ctx context.Context, c *Client, k call) (T, *Failure) {
	var doc T
	r, f := c.do(ctx, k)
	if f != nil {
		return doc, f
	}
	if err := json.Unmarshal(r.body, &doc); err != nil {
		return doc, unknownOutcome(errors.Wrap(err, "the answer can't be read"))
	}
	return doc, nil
}
