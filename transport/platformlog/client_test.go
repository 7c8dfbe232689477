package platformlog

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/standin/logserver"
)

const stream = coordination.StreamDeclarations

func start(t *testing.T, opts logserver.Options) (*logserver.Server, *Client) {
	t.Helper()
	server := logserver.New(opts)
	listener := httptest.NewServer(server)
	client := New(Options{URL: listener.URL, Timeout: 5 * time.Second})
	t.Cleanup(func() {
		client.Close()
		listener.CloseClientConnections()
		listener.Close()
	})
	return server, client
}

func TestAppendAndRead(t *testing.T) {
	is := is.New(t)
	_, client := start(t, logserver.Options{})
	ctx := context.Background()
	for want := int64(1); want <= 3; want++ {
		offset, err := client.Append(ctx, stream, []byte{byte(want), 0xff, 0})
		is.NoErr(err)
		is.Equal(offset, want)
	}
	batch, err := client.Read(ctx, stream, 2, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 2)
	is.Equal(batch.Records[0].Data, []byte{2, 0xff, 0})
	is.Equal(batch.First, int64(1))
	is.Equal(batch.Next, int64(4))
	is.True(batch.CaughtUp())
}

// A reader that fell behind must learn that records are missing: reading on as
// if nothing had happened would make it judge later applies unlike its peers.
func TestReadBelowRetainedRangeIsGone(t *testing.T) {
	is := is.New(t)
	server, client := start(t, logserver.Options{RetentionRecords: 2})
	ctx := context.Background()
	for range 5 {
		_, err := client.Append(ctx, stream, []byte("x"))
		is.NoErr(err)
	}
	_, err := client.Read(ctx, stream, 1, 0)
	var gone *ErrGone
	is.True(errors.As(err, &gone))
	is.Equal(gone.First, int64(4))
	server.TruncateBelow(string(stream), 6)
	batch, err := client.Read(ctx, stream, 6, 0)
	is.NoErr(err)
	is.Equal(batch.First, int64(6))
}

func TestFollowDeliversWhatIsAppendedLater(t *testing.T) {
	is := is.New(t)
	_, client := start(t, logserver.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan Batch, 16)
	done := make(chan error)
	go func() {
		done <- client.Follow(ctx, stream, 1, Events{OnBatch: func(b Batch, _ time.Time) { got <- b }, OnGone: func(Gone) {}})
	}()
	for want := int64(1); want <= 3; want++ {
		_, err := client.Append(ctx, stream, []byte("x"))
		is.NoErr(err)
		b := <-got
		for len(b.Records) == 0 { // the first read doesn't wait for a record
			b = <-got
		}
		is.Equal(b.Records[0].Offset, want)
	}
	cancel()
	is.True(errors.Is(<-done, context.Canceled))
}
