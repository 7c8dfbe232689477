package link

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/link"
	"github.com/shallotstep/shallotstep/transport/tlsconf"
	"github.com/shallotstep/shallotstep/transport/tlsconf/devca"
)

// end is a node that counts what it is told.
type end struct {
	*link.Links
	id   state.NodeID
	addr string
	got  atomic.Int64
	// want is the count at which reached is told.
	want    atomic.Int64
	reached chan struct{}
}

func (e *end) handle(state.NodeID, message.Message) {
	if e.got.Add(1) == e.want.Load() {
		e.reached <- struct{}{}
	}
}

func newEnd(b *testing.B, id state.NodeID, tls *link.TLS) *end {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(b, err)
	e := &end{id: id, addr: listener.Addr().String(), reached: make(chan struct{}, 1)}
	e.Links, err = link.New(link.Options{
		Self: id, Addr: e.addr, Listener: listener, TLS: tls,
		Handler:     e.handle,
		IdleTimeout: time.Hour,
	})
	check(b, err)
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		check(b, e.Close(ctx))
	})
	return e
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatalf("%+v", err)
	}
}

func fleetTLS(b *testing.B) *link.TLS { return fleetTLSIn(b, b.TempDir()) }

func fleetTLSIn(b *testing.B, dir string) *link.TLS {
	ca, err := devca.New(time.Now())
	check(b, err)
	pair, err := ca.Leaf(time.Now(), time.Hour, []string{"fleet"})
	check(b, err)
	check(b, ca.Write(dir))
	cert, key, err := pair.Write(dir, "fleet")
	check(b, err)
	source, err := tlsconf.Load(tlsconf.Files{Cert: cert, Key: key, CA: dir + "/" + devca.CAFile})
	check(b, err)
	return &link.TLS{Server: source.Server(), Client: source.Client(), FleetNames: []string{"fleet"}}
}

// processorTime is what this process has used, user and system together.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	check(b, errors.WithStack(syscall.Getrusage(syscall.RUSAGE_SELF, &u)))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sample messages of the sizes that a workshop's or a substation's day brings.

var key = state.JobKey{Service: "bench-desk", ID: "01jb7q5k6z8m4n2p0r3s5t7v9w"}

func tasks(n int) []state.Task {
	out := make([]state.Task, n)
	for i := range out {
		payload := fmt.Sprintf(`{"photo":"intake/2026/12/%08d.jpg","material":"porcelain","desk":4}`, i)
		out[i] = state.Task{Payload: []byte(payload), Cores: 0.5, MemoryMB: 512, Expected: 250 * time.Millisecond}
	}
	return out
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func submit(n int) message.Submit {
	return message.Submit{
		Job:    state.Job{Key: key, Operator: "haneul", Tasks: tasks(n)},
		Digest: sha256.Sum256([]byte("x")), Attempt: "entry-1@ct3v8u6g10l0001/000001", Epoch: 123456,
		Deadline: 30 * time.Second,
	}
}

func assign(n int) message.Assign {
	return message.Assign{Key: key, Operator: "haneul", Indexes: indexes(n), Tasks: tasks(n), Deadline: 30 * time.Second, Backlog: 900}
}

func load(i int) state.AgentLoad {
	return state.AgentLoad{
		ID: state.NodeID(fmt.Sprintf("agent-jeonju-%03d@ct3v8u6g10l0001", i)), Addr: "10.1.2.3:7500", Seq: 100000,
		Region: "jeonbuk", Domain: "jeonju", Rack: "rack-2", Services: []string{"bench-desk"},
		Slots: 8, Free: 3, Queued: 2, Cores: 16, MemoryMB: 65536,
	}
}

func report(n int) message.Report {
	m := message.Report{Key: key, Credit: 2, Load: load(1)}
	for i := range n {
		m.Results = append(m.Results, state.TaskResult{Index: i, Payload: []byte(`{"quote":184000,"currency":"KRW"}`), Ran: 240 * time.Millisecond})
	}
	return m
}

func claimAsk() message.ClaimAsk {
	return message.ClaimAsk{
		Key: key, Region: "jeonbuk", Digest: sha256.Sum256([]byte("x")), Attempt: "entry-1@ct3v8u6g10l0001/000001",
		Token: "agent-jeonju-001@ct3v8u6g10l0001/000001", Epoch: 123456, Knows: true,
	}
}

func loadNews(n int) message.LoadNews {
	var m message.LoadNews
	for i := range n {
		m.Loads = append(m.Loads, message.LoadItem{Load: load(i), Age: 350 * time.Millisecond})
	}
	return m
}

type sample struct {
	name string
	msg  message.Message
}

func samples() []sample {
	return []sample{
		{"Submit-1", submit(1)}, {"Submit-1000", submit(1000)},
		{"Assign-1", assign(1)}, {"Assign-8", assign(8)},
		{"Report-1", report(1)}, {"Report-8", report(8)},
		{"ClaimAsk", claimAsk()},
		{"ClaimReply", message.ClaimReply{Key: key, Token: claimAsk().Token, Epoch: 123456, Granted: true}},
		{"LoadNews-60", loadNews(60)},
		{"Drop", message.Drop{Key: key}},
	}
}

// BenchmarkWire gives the bytes of each kind of message, without what a frame
// and HTTP/2 add, and the time to encode, marshal, unmarshal and decode it.
func BenchmarkWire(b *testing.B) {
	for _, s := range samples() {
		b.Run(s.name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				envelope, err := wire.Encode(s.msg)
				check(b, err)
				data, err := proto.Marshal(envelope)
				check(b, err)
				check(b, proto.Unmarshal(data, envelope))
				_, err = wire.Decode(envelope)
				check(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "wire-B/msg")
		})
	}
}

// BenchmarkSend sends ClaimAsks in batches: a batch is queued at once, and the
// next one after the first has arrived. cpu-ns/msg is the processor time of
// both ends together, which run in this process.
func BenchmarkSend(b *testing.B) {
	for _, secure := range []string{"plain", "tls"} {
		for _, batch := range []int{1, 8, 64, 1024} {
			b.Run(fmt.Sprintf("%s/batch-%d", secure, batch), func(b *testing.B) {
				var tls *link.TLS
				if secure == "tls" {
					tls = fleetTLS(b)
				}
				benchmarkSend(b, tls, batch)
			})
		}
	}
}

func benchmarkSend(b *testing.B, tls *link.TLS, batch int) {
	from, to := newEnd(b, "from@1", tls), newEnd(b, "to@1", tls)
	from.SetPeer(to.id, to.addr)
	msg := claimAsk()
	sendAll(b, from, to, msg, 1)
	before := processorTime(b)
	sent := 0
	for b.Loop() {
		sendAll(b, from, to, msg, batch)
		sent += batch
	}
	spent := processorTime(b) - before
	b.ReportMetric(float64(sent)/b.Elapsed().Seconds(), "msg/s")
	b.ReportMetric(float64(spent.Nanoseconds())/float64(sent), "cpu-ns/msg")
}

// sendAll sends n messages and waits until they have arrived.
func sendAll(b *testing.B, from, to *end, msg message.Message, n int) {
	to.want.Store(to.got.Load() + int64(n))
	for range n {
		if !from.Send(to.id, msg) {
			b.Fatal("refused")
		}
	}
	<-to.reached
}

// BenchmarkIdleLinks opens links from one node to many and gives the heap and
// stack of one idle link, both ends together, and the goroutines it holds.
func BenchmarkIdleLinks(b *testing.B) {
	const count = 200
	for _, secure := range []string{"plain", "tls"} {
		b.Run(secure, func(b *testing.B) {
			var tls *link.TLS
			if secure == "tls" {
				tls = fleetTLS(b)
			}
			for b.Loop() {
				benchmarkIdle(b, tls, count)
			}
		})
	}
}

func benchmarkIdle(b *testing.B, tls *link.TLS, count int) {
	hub := newEnd(b, "hub@1", tls)
	ends := make([]*end, count)
	for i := range ends {
		ends[i] = newEnd(b, state.NodeID(fmt.Sprintf("end%d@1", i)), tls)
		ends[i].SetPeer(hub.id, hub.addr)
	}
	before := inUse()
	hub.want.Store(int64(count))
	for _, e := range ends {
		e.Send(hub.id, claimAsk())
	}
	<-hub.reached
	after := inUse()
	b.ReportMetric(float64(after.heap-before.heap)/float64(count), "heap-B/link")
	b.ReportMetric(float64(after.stack-before.stack)/float64(count), "stack-B/link")
	b.ReportMetric(float64(after.goroutines-before.goroutines)/float64(count), "goroutines/link")
	runtime.KeepAlive(ends)
}

// usage is what this process holds.
type usage struct {
	heap, stack int64
	goroutines  int
}

// inUse looks after two collections: the second takes what pools had kept over
// the first.
func inUse() usage {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{heap: int64(m.HeapAlloc), stack: int64(m.StackInuse), goroutines: runtime.NumGoroutine()}
}
