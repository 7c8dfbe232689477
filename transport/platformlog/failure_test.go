package platformlog

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/shallotstep/shallotstep/standin/logserver"
)

// refused and unknown return the reason, or "" if the error is another one.
func refused(err error) string {
	var e *ErrRefused
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

func unknown(err error) string {
	var e *ErrUnknown
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// An operator is told "not run" on ErrRefused and "unknown" on ErrUnknown, so
// ErrRefused must never stand for a record that is in. Each fault hits one
// append; the stand-in's own count says whether the record went in.
func TestFailedAppendSaysWhatIsCertain(t *testing.T) {
	tests := map[string]struct {
		faults  logserver.Faults
		refused string
		unknown string
		in      int64
	}{
		"outage":     {faults: logserver.Faults{Outage: true}, refused: "unavailable"},
		"cut":        {faults: logserver.Faults{Cut: true}, unknown: "connection"},
		"lost reply": {faults: logserver.Faults{LoseNextReplies: 1}, unknown: "connection", in: 1},
		"slow":       {faults: logserver.Faults{DelayMS: 1500}, unknown: "timeout", in: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, client := start(t, logserver.Options{})
			_, err := client.Read(context.Background(), stream, 1, 0) // a connection is there
			is.NoErr(err)
			if tt.faults.DelayMS > 0 {
				client.timeout = 300 * time.Millisecond
			}
			server.SetFaults(tt.faults)
			_, err = client.Append(context.Background(), stream, []byte("x"))
			is.Equal(refused(err), tt.refused)
			is.Equal(unknown(err), tt.unknown)
			for server.Appends(string(stream)) < tt.in { // it may come in later
				time.Sleep(time.Millisecond)
			}
			is.Equal(server.Appends(string(stream)), tt.in) // and not one more
		})
	}
}

func TestRefusedAppends(t *testing.T) {
	is := is.New(t)
	_, client := start(t, logserver.Options{MaxRecordBytes: 10})
	_, err := client.Append(context.Background(), stream, make([]byte, 11))
	is.Equal(refused(err), "too_large")

	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	_, err = New(Options{URL: gone.URL}).Append(context.Background(), stream, []byte("x"))
	is.Equal(refused(err), "dial")

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = client.Append(ctx, stream, []byte("x"))
	is.Equal(refused(err), "cancelled")
}

// Something between us and the service answers in its place. It may have passed
// the record on before, so none of its answers is a certain refusal; and a
// redirect that is followed sends the record a second time.
func TestAnswersOfOthersAreNotCertain(t *testing.T) {
	for _, status := range []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusOK, http.StatusTemporaryRedirect} {
		posts := func(safe bool) (int, error) {
			count := 0
			between := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				count++
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(status)
			}))
			defer between.Close()
			client := New(Options{URL: between.URL})
			if !safe {
				client.http.CheckRedirect = nil
			}
			_, err := client.Append(context.Background(), stream, []byte("x"))
			return count, err
		}
		is := is.New(t)
		count, err := posts(true)
		is.Equal(unknown(err), "server")
		is.Equal(count, 1)
		count, _ = posts(false)
		is.Equal(count > 1, status == http.StatusTemporaryRedirect) // the safeguard is needed
	}
}

// The service goes down under a follower and comes back with its old records
// gone. The follower tries again, is told of the gap and goes on behind it.
func TestFollowOverOutageAndGap(t *testing.T) {
	is := is.New(t)
	server, client := start(t, logserver.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 100)
	server.SetFaults(logserver.Faults{Outage: true})
	batches, gaps := make(chan Batch, 100), make(chan Gone, 1)
	events := Events{
		OnBatch:   func(b Batch, _ time.Time) { batches <- b },
		OnGone:    func(g Gone) { gaps <- g },
		OnFailure: func(err error) { failed <- err },
	}
	done := make(chan error)
	go func() { done <- client.Follow(ctx, stream, 1, events) }()
	<-failed
	server.SetFaults(logserver.Faults{Cut: true})
	for readResult(Batch{}, <-failed) != "connection" {
	}
	server.SetFaults(logserver.Faults{LoseNextReplies: 3})
	for range 3 {
		_, err := client.Append(ctx, stream, []byte("x"))
		is.Equal(unknown(err), "connection")
	}
	for seen := int64(0); seen < 3; {
		seen = (<-batches).Next - 1
	}
	server.SetFaults(logserver.Faults{Cut: true})
	<-failed
	server.SetFaults(logserver.Faults{TruncateBelow: map[string]int64{string(stream): 4}})
	_, err := client.Append(ctx, stream, []byte("y"))
	is.NoErr(err)
	for seen := int64(0); seen < 4; {
		seen = (<-batches).Next - 1
	}
	is.Equal(len(gaps), 0) // it had read all that was dropped
	is.True(testutil.ToFloat64(client.metrics.retries.WithLabelValues(string(stream), "connection")) >= 2)
	is.True(testutil.ToFloat64(client.metrics.retries.WithLabelValues(string(stream), "server")) >= 1)
	cancel()
	<-done

	ctx, cancel = context.WithCancel(context.Background())
	defer cancel()
	go func() { done <- client.Follow(ctx, stream, 2, events) }()
	is.Equal(<-gaps, Gone{From: 2, First: 4})
	is.Equal((<-batches).Records[0].Offset, int64(4))
	cancel()
	<-done
}

// The service comes back without the records it had confirmed. Going on at its
// end would let new records at old offsets pass for old ones.
func TestReadBeyondEnd(t *testing.T) {
	is := is.New(t)
	_, client := start(t, logserver.Options{})
	_, err := client.Read(context.Background(), stream, 7, 0)
	var beyond *ErrBeyondEnd
	is.True(errors.As(err, &beyond))
	is.Equal(beyond.End, int64(1))
}
