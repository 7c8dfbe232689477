package inforce

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/declare"
	"github.com/shallotstep/shallotstep/standin/logserver"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/transport/platformlog"
)

// processes is how many there are. The default keeps the checks quick; the
// figures are from a run with -processes 990, the target size.
var processes = flag.Int("processes", 60, "processes that read the declarations")

const (
	operators = 20
	// between is between two changes, at 2,200 a day.
	between = 24 * time.Hour / 2200
	// tick is how often a process lets time pass for its machine. A daemon does so
	// more often; nothing here is decided by it but when callers give up.
	tick = time.Second
)

// pipes is a network of connections in memory, whose time is virtual.
type pipes struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), done: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "log"} }

func (p *pipes) dial() (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// farConn holds back what comes in by the few milliseconds of a network.
type farConn struct{ net.Conn }

func (c farConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	hop()
	return n, err
}

// hop is the way over the network of one region.
func hop() { time.Sleep(time.Millisecond + rand.N(4*time.Millisecond)) }

// fleet is the log and the processes that follow it.
type fleet struct {
	t      *testing.T
	log    *logserver.Server
	procs  []*process
	ctx    context.Context
	work   conc.WaitGroup
	accept *pipes

	mu sync.Mutex
	// the rest is guarded by mu.
	tickets uint64
	// inForce are, by version, when each process had it in force.
	inForce map[state.Version][]time.Time
	// taken is when the log had a record.
	taken map[state.Version]time.Time
}

// process is one reader of the declarations.
type process struct {
	f       *fleet
	id      state.NodeID
	machine *declare.Machine
	set     *declaration.Set
	client  *platformlog.Client
	// late is how long it takes to come to what it has read, in nanoseconds.
	late atomic.Int64

	mu sync.Mutex
	// waiting are the callers, guarded by mu.
	waiting map[uint64]chan coordination.Applied
}

// start brings up the log and all processes. It returns a function that ends
// them.
func start(t *testing.T) (*fleet, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{
		t:       t,
		log:     logserver.New(logserver.Options{}),
		ctx:     ctx,
		accept:  newPipes(),
		inForce: make(map[state.Version][]time.Time),
		taken:   make(map[state.Version]time.Time),
	}
	server := &http.Server{Handler: http.HandlerFunc(f.serve)}
	f.work.Go(func() { _ = server.Serve(f.accept) })
	for i := range *processes {
		f.procs = append(f.procs, f.newProcess(i))
	}
	for _, p := range f.procs {
		f.work.Go(p.follow)
		f.work.Go(p.tick)
	}
	return f, func() {
		cancel()
		for _, p := range f.procs {
			p.client.Close()
		}
		_ = server.Close()
		f.work.Wait()
		time.Sleep(time.Second) // what is still on its way
	}
}

func (f *fleet) serve(w http.ResponseWriter, r *http.Request) {
	hop()
	f.log.ServeHTTP(w, r)
}

func (f *fleet) newProcess(i int) *process {
	p := &process{
		f:       f,
		id:      state.NodeID(fmt.Sprintf("process-%03d", i)),
		set:     declaration.NewSet(),
		waiting: make(map[uint64]chan coordination.Applied),
	}
	p.machine = declare.New(declare.Options{Self: p.id, Set: p.set, Seed: uint64(i)})
	p.client = platformlog.New(platformlog.Options{
		URL: "http://log",
		Dial: func(context.Context, string, string) (net.Conn, error) {
			c, err := f.accept.dial()
			if err != nil {
				return nil, err
			}
			return farConn{c}, nil
		},
	})
	return p
}

func (p *process) follow() {
	_ = p.client.Follow(p.f.ctx, coordination.StreamDeclarations, 1, platformlog.Events{
		OnBatch:   p.batch,
		OnGone:    func(platformlog.Gone) {},
		OnFailure: func(error) { p.execute(p.machine.ReadFailed(time.Now())) },
	})
}

func (p *process) batch(b platformlog.Batch, _ time.Time) {
	time.Sleep(time.Duration(p.late.Load()))
	for _, rec := range b.Records {
		p.execute(p.machine.Record(time.Now(), rec.Offset, rec.Data))
		if ev, err := declaration.DecodeRecord(rec.Data); err == nil {
			p.f.note(p, ev.Operator, state.Version(rec.Offset))
		}
	}
	p.execute(p.machine.ReadThrough(time.Now(), b.Next-1))
}

// note remembers that a version is in force, and fails if one went back.
func (f *fleet) note(p *process, operator string, v state.Version) {
	cur, _ := p.set.Operator(operator)
	if cur.Version > v {
		f.t.Errorf("%s has %s at %d upon reading %d", p.id, operator, cur.Version, v)
	}
	if cur.Version != v {
		return // a refused apply
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inForce[v] = append(f.inForce[v], time.Now())
}

func (p *process) tick() {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-p.f.ctx.Done():
			return
		case now := <-t.C:
			p.execute(p.machine.Tick(now))
		}
	}
}

func (p *process) execute(acts []coordination.Action) {
	for _, act := range acts {
		switch a := act.(type) {
		case coordination.Append:
			p.f.work.Go(func() { p.append(a) })
		case coordination.Applied:
			p.mu.Lock()
			waiting := p.waiting[a.Ticket]
			delete(p.waiting, a.Ticket)
			p.mu.Unlock()
			waiting <- a
		}
	}
}

func (p *process) append(a coordination.Append) {
	_, err := p.client.Append(context.Background(), a.Stream, a.Data)
	if err == nil {
		return
	}
	failure := declare.FailureUnknown
	var refused *platformlog.ErrRefused
	if errors.As(err, &refused) {
		failure = declare.FailureRefused
	}
	p.execute(p.machine.AppendFailed(time.Now(), a.Data, failure))
}

// apply has a process replace an operator's file, and waits for the answer. It
// notes when the log had the record.
func (p *process) apply(operator string, inFlight int) coordination.Applied {
	f := p.f
	f.mu.Lock()
	f.tickets++
	ticket := f.tickets
	f.mu.Unlock()
	answer := make(chan coordination.Applied, 1)
	p.mu.Lock()
	p.waiting[ticket] = answer
	p.mu.Unlock()
	cur, _ := p.set.Operator(operator)
	raw := fmt.Appendf(nil, `{"operator": %q, "quota": {"tasks_in_flight": %d, "tasks_per_second": 10},
		"services": [{"name": "service-of-%s", "region": "kigali"}]}`, operator, inFlight, operator)
	p.execute(p.machine.Put(time.Now(), ticket, operator, cur.Version, raw))
	return <-answer
}

// watchLog notes when the log takes in records, to the millisecond.
func (f *fleet) watchLog() {
	seen := f.log.Appends(string(coordination.StreamDeclarations))
	for f.ctx.Err() == nil {
		time.Sleep(time.Millisecond)
		now := f.log.Appends(string(coordination.StreamDeclarations))
		f.mu.Lock()
		for v := seen + 1; v <= now; v++ {
			f.taken[state.Version(v)] = time.Now()
		}
		f.mu.Unlock()
		seen = now
	}
}

// delays are how long after its record was in the log each accepted version was
// in force on each process, sorted. Versions up to after are left out.
func (f *fleet) delays(after state.Version) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []time.Duration
	for v, times := range f.inForce {
		if v <= after {
			continue
		}
		if len(times) != *processes {
			f.t.Errorf("version %d is in force on %d of %d processes", v, len(times), *processes)
		}
		for _, at := range times {
			out = append(out, max(0, at.Sub(f.taken[v])))
		}
	}
	slices.Sort(out)
	return out
}

// report prints a distribution and returns its end.
func (f *fleet) report(name string, after state.Version) time.Duration {
	d := f.delays(after)
	if len(d) == 0 {
		f.t.Errorf("%s: nothing was in force", name)
		return 0
	}
	at := func(share float64) time.Duration { return d[int(share*float64(len(d)-1))].Round(time.Millisecond) }
	f.t.Logf("%s: %d changes on %d processes: p50 %v, p99 %v, p99.9 %v, last %v",
		name, len(d) / *processes, *processes, at(.5), at(.99), at(.999), at(1))
	return d[len(d)-1]
}
