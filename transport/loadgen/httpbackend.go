package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/standin"
	"github.com/shallotstep/shallotstep/state"
)

// maxStartsBytes is the maximum size of a reply of a stand-in.
const maxStartsBytes = 256 << 20

// HTTPBackend is a Backend that calls a stand-in backend server over HTTP.
type HTTPBackend struct {
	url   string
	token string
}

// NewHTTPBackend returns a client for the stand-in with this base URL. If token is
// not empty, it is sent as a bearer token.
func NewHTTPBackend(baseURL, token string) *HTTPBackend {
	return &HTTPBackend{url: strings.TrimSuffix(baseURL, "/"), token: token}
}

// Starts implements Backend.
func (b *HTTPBackend) Starts(ctx context.Context, prefix string) (map[TaskKey]int, error) {
	var doc standin.Starts
	query := url.Values{standin.PrefixParameter: {prefix}}
	if err := b.call(ctx, http.MethodGet, standin.StartsPath+"?"+query.Encode(), nil, &doc); err != nil {
		return nil, err
	}
	counts := make(map[TaskKey]int, len(doc.Tasks))
	for _, t := range doc.Tasks {
		counts[TaskKey{Job: state.JobKey{Service: t.Service, ID: t.Job}, Step: t.Step, Index: t.Index}] += t.Starts
	}
	return counts, nil
}

// SetFaults implements Backend.
func (b *HTTPBackend) SetFaults(ctx context.Context, f standin.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	return b.call(ctx, http.MethodPut, standin.FaultsPath, body, &f)
}

// call sends a request and decodes the reply into the value that into points to.
// Any status other than 200 is an error.
func (b *HTTPBackend) call(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, b.url+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	if b.token != "" {
		req.Header.Set("Authorization", "Bearer "+b.token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxStartsBytes))
	switch {
	case err != nil:
		return errors.WithStack(err)
	case resp.StatusCode != http.StatusOK:
		return errors.Errorf("%s answered %s: %.200s", b.url+path, resp.Status, text)
	}
	return errors.Wrapf(json.Unmarshal(text, into), "%s", b.url+path)
}
