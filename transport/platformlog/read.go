package platformlog

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination"
)

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is what one read returned.
type Batch struct {
	Records []Record `json:"records"`
	// First is the lowest offset that can still be read.
	First int64 `json:"first"`
	// Next is where the following read starts.
	Next int64 `json:"next"`
	// End is the offset that the next append will get.
	End int64 `json:"end"`
}

// CaughtUp reports whether the batch reached the end of the stream.
func (b *Batch) CaughtUp() bool { return b.Next >= b.End }

// Read returns records from an offset on. With nothing to return the service
// holds the request for up to wait. Errors: *ErrGone, *ErrBeyondEnd, *ErrRead.
func (c *Client) Read(ctx context.Context, stream coordination.Stream, from int64, wait time.Duration) (Batch, error) {
	batch, err := c.read(ctx, stream, from, wait)
	c.metrics.reads.WithLabelValues(string(stream), readResult(batch, err)).Inc()
	return batch, err
}

func readResult(batch Batch, err error) string {
	var gone *ErrGone
	var beyond *ErrBeyondEnd
	var failed *ErrRead
	switch {
	case errors.As(err, &gone):
		return resultGone
	case errors.As(err, &beyond):
		return resultBeyond
	case errors.As(err, &failed):
		return failed.Reason
	case len(batch.Records) == 0:
		return resultEmpty
	}
	return resultOK
}

func (c *Client) read(ctx context.Context, stream coordination.Stream, from int64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	values := url.Values{"from": {strconv.FormatInt(from, 10)}}
	if wait > 0 {
		values.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	req, err := c.request(ctx, http.MethodGet, recordsPath(stream)+"?"+values.Encode(), nil)
	if err != nil {
		return Batch{}, &ErrRead{Reason: reasonClient, Cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Batch{}, &ErrRead{Reason: transportReason(err), Cause: err}
	}
	defer drain(resp.Body)
	return readReply(resp, from)
}

func readReply(resp *http.Response, from int64) (Batch, error) {
	status := resp.StatusCode
	switch status {
	case http.StatusOK, http.StatusGone, http.StatusRequestedRangeNotSatisfiable:
	default:
		reason := reasonServer
		if status < 500 {
			reason = reasonClient
		}
		return Batch{}, &ErrRead{Reason: reason, RetryAfter: retryAfter(resp), Cause: errors.Errorf("status %d", status)}
	}
	var batch Batch
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&batch); err != nil {
		return Batch{}, &ErrRead{Reason: reasonReply, Cause: err}
	}
	switch {
	case status == http.StatusGone && batch.First > from:
		return Batch{}, &ErrGone{First: batch.First}
	case status == http.StatusRequestedRangeNotSatisfiable && batch.End < from:
		return Batch{}, &ErrBeyondEnd{End: batch.End}
	case status != http.StatusOK:
		return Batch{}, &ErrRead{Reason: reasonReply, Cause: errors.Errorf("status %d contradicts its range", status)}
	}
	if err := checkBatch(&batch, from); err != nil {
		return Batch{}, &ErrRead{Reason: reasonReply, Cause: err}
	}
	return batch, nil
}

// checkBatch refuses a reply whose records don't follow one another. A missing
// record would make this node judge later ones differently from its peers.
func checkBatch(b *Batch, from int64) error {
	next := from
	for i := range b.Records {
		if b.Records[i].Offset != next {
			return errors.Errorf("record at offset %d where %d was due", b.Records[i].Offset, next)
		}
		next++
	}
	if b.Next != next {
		return errors.Errorf("next is %d after records up to %d", b.Next, next-1)
	}
	return nil
}
