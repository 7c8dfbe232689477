package platformlog

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/standin/logserver"
)

// recordBytes is a declaration record of a team with a handful of services.
const recordBytes = 2 << 10

// meter counts what goes over connections, without TCP and IP headers.
type meter struct{ in, out atomic.Int64 }

type meteredConn struct {
	net.Conn
	m *meter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Add(int64(n))
	return n, err
}

func (m *meter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, addr)
	return meteredConn{conn, m}, err
}

// BenchmarkIdlePoll measures a long poll that ends empty.
func BenchmarkIdlePoll(b *testing.B) {
	listener := httptest.NewServer(logserver.New(logserver.Options{}))
	defer listener.Close()
	var m meter
	client := New(Options{URL: listener.URL, Dial: m.dial})
	defer client.Close()
	for b.Loop() {
		if _, err := client.Read(context.Background(), stream, 1, 0); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(m.out.Load())/float64(b.N), "sent-B/poll")
	b.ReportMetric(float64(m.in.Load())/float64(b.N), "received-B/poll")
}

// BenchmarkFollow990 appends records that 990 daemons follow, and measures what
// one record costs each of them and how long the last one waits for it.
func BenchmarkFollow990(b *testing.B) {
	const daemons = 990
	server := logserver.New(logserver.Options{AppendsPerSecond: 1_000_000})
	listener := httptest.NewServer(server)
	defer listener.Close()
	defer listener.CloseClientConnections()
	ctx, cancel := context.WithCancel(context.Background())
	var m meter
	var followers conc.WaitGroup
	var seen sync.WaitGroup
	for range daemons {
		client := New(Options{URL: listener.URL, Dial: m.dial})
		followers.Go(func() {
			defer client.Close()
			onBatch := func(batch Batch, _ time.Time) { seen.Add(-len(batch.Records)) }
			_ = client.Follow(ctx, stream, 1, Events{OnBatch: onBatch, OnGone: func(Gone) {}})
		})
	}
	writer := New(Options{URL: listener.URL})
	appendAndWait := func() {
		seen.Add(daemons)
		if _, err := writer.Append(ctx, stream, make([]byte, recordBytes)); err != nil {
			b.Fatal(err)
		}
		seen.Wait()
	}
	appendAndWait() // all are connected
	in, out := m.in.Load(), m.out.Load()
	var longest time.Duration
	for b.Loop() {
		started := time.Now()
		appendAndWait()
		longest = max(longest, time.Since(started))
	}
	b.ReportMetric(float64(m.out.Load()-out)/float64(b.N*daemons), "sent-B/record/daemon")
	b.ReportMetric(float64(m.in.Load()-in)/float64(b.N*daemons), "received-B/record/daemon")
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
	cancel()
	followers.Wait()
}
