// Package httpclient is the Go client of an entry's HTTP interface. It never
// claims more than it knows: where a reply is lost or doesn't hold together,
// the outcome is unknown.
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

// maxReplyBytes bounds one reply: a thousand results of a quarter MiB.
const maxReplyBytes = 256 << 20

// Options are what a client works with.
type Options struct {
	// Addr is host:port or a base URL. Without a scheme it is https when CA is
	// set and http otherwise.
	Addr string
	// Token is the bearer token. Empty sends none.
	Token string
	// CA, when set, replaces the system's certificate authorities.
	CA *x509.CertPool
	// Sleep waits between tries. Nil means real time.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Client talks to one entry. It is safe for concurrent use.
type Client struct {
	base  *url.URL
	token string
	http  *http.Client
	sleep func(ctx context.Context, d time.Duration) error
}

// New returns a client. It fails on an address that is none.
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
		return nil, errors.Errorf("%q is no address of an entry", o.Addr)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	// The token is for the entry and no proxy in between.
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

// Failure is why a call brought no answer.
type Failure struct {
	// Outcome is what is known of the work that was asked for.
	Outcome state.Outcome
	// Problem is the entry's refusal, nil where the client itself failed.
	Problem *api.Problem
	// Err is the client's own error, nil where the entry refused.
	Err error
	// NotSent says that no byte of this attempt left the client.
	NotSent bool
}

// String returns the failure on one line.
func (f *Failure) String() string {
	if f.Problem != nil {
		return f.Problem.String()
	}
	if f.NotSent {
		return "not sent: " + f.Err.Error()
	}
	return f.Outcome.String() + ": " + f.Err.Error()
}

// RetryAfter returns when the entry wants to be asked again, or zero.
func (f *Failure) RetryAfter() time.Duration {
	if f.Problem == nil {
		return 0
	}
	return f.Problem.RetryAfter
}

// call is one HTTP request.
type call struct {
	method string
	path   []string
	body   []byte
	header http.Header
}

// reply is one whole HTTP reply with status 200.
type reply struct {
	header http.Header
	body   []byte
}

// do makes one call. Any reply that is not a whole 200 or a problem document
// leaves the outcome unknown.
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

// refused reads a problem document. Anything else, such as a balancer's own
// error page, says nothing of the outcome.
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

// document makes a call whose answer is a JSON document.
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
