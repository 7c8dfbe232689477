package platformlog

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/shallotstep/shallotstep/coordination"
)

// The log hangs and appends pile up. Beyond the bound each is refused at once,
// so nothing of it was sent and the caller may try again; whoever looks for the
// cause must find these refusals in a counter of their own.
func TestAppendsBeyondTheBoundAreRefusedAndCounted(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	dialled := make(chan struct{}, maxAppends)
	hang := func(ctx context.Context, _, _ string) (net.Conn, error) {
		dialled <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c := New(Options{URL: "http://log", Dial: hang})
	ended := make(chan struct{})
	for range maxAppends {
		go func() {
			_, _ = c.Append(ctx, coordination.StreamRoster, nil)
			ended <- struct{}{}
		}()
		<-dialled
	}
	_, err := c.Append(ctx, coordination.StreamRoster, nil)
	var refused *ErrRefused
	is.True(errors.As(err, &refused))
	is.Equal(refused.Reason, reasonCrowded)
	counter := c.metrics.appends.WithLabelValues(string(coordination.StreamRoster), "refused_"+reasonCrowded)
	is.Equal(testutil.ToFloat64(counter), 1.0)
	cancel()
	for range maxAppends {
		<-ended
	}
}
