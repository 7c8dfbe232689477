package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playFuzz plays random disruptions. SEED, LENGTH (in seconds) and AGENTS set how, and with BORN set the
// executors keep their IDs when they start again. With BEST set there are only best-effort jobs.
func playFuzz(r *record) error {
	d, err := newRelayedDeployment(r, 2, int(max(2, number(os.Getenv("AGENTS")))), true)
	if err != nil {
		return err
	}
	defer d.end()
	for _, e := range d.executors {
		e.mu.Lock()
		e.keepsID = os.Getenv("BORN") != ""
		e.mu.Unlock()
	}
	return fuzz(r, uint64(number(os.Getenv("SEED"))), d, time.Duration(number(os.Getenv("LENGTH")))*time.Second)
}

// fuzz plays random disruptions against recorded and best-effort jobs, and checks the rules that hold
// for all machines, in touch or not.
func fuzz(r *record, seed uint64, d *deployment, length time.Duration) error {
	rnd := rand.New(rand.NewPCG(seed, 1))
	c := newClient(r)
	f := &fuzzer{record: r, d: d, c: c, jobs: make(map[string]*fuzzJob)}
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(7 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	clients := 6
	if os.Getenv("BEST") != "" {
		clients = 60
	}
	for w := range clients {
		wrnd := rand.New(rand.NewPCG(seed, uint64(100+w)))
		wg.Go(func() { f.clientLoop(wrnd, stop) })
	}
	end := sinceStart() + length
	for sinceStart() < end {
		f.trouble(rnd, &wg)
		time.Sleep(time.Duration(200+rnd.IntN(2500)) * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
		if !p.running() {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	r.add("quiet")
	time.Sleep(24 * time.Second)
	f.check()
	return nil
}

// fuzzer is one play of fuzz.
type fuzzer struct {
	record *record
	d      *deployment
	c      *client

	mu   sync.Mutex
	jobs map[string]*fuzzJob // guarded by mu until the clients have ended
}

// fuzzJob is a job and what its client has seen.
type fuzzJob struct {
	id, path    string
	body        jobBody
	recorded    bool
	accepted    bool
	allRejected bool
	attempts    int
	cancelSent  bool
	cancelAcked time.Duration
}

// clientLoop hands in one job after another until stop is closed.
func (f *fuzzer) clientLoop(rnd *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.IntN(120)) * time.Millisecond):
		}
		f.oneJob(rnd)
	}
}

// oneJob hands in a random job, and perhaps cancels it or sends it again.
func (f *fuzzer) oneJob(rnd *rand.Rand) {
	j := &fuzzJob{id: newID(), path: "/survey/", recorded: rnd.IntN(4) > 0, allRejected: true}
	work := time.Duration(20+rnd.IntN(600)) * time.Millisecond
	if rnd.IntN(8) == 0 {
		work = time.Duration(1000+rnd.IntN(4000)) * time.Millisecond
	}
	j.body = tasks(1+rnd.IntN(5), int64(200+rnd.IntN(1500)), work, work, !j.recorded)
	if os.Getenv("BEST") != "" {
		// Best-effort jobs, many of which take longer than their clients wait.
		j.recorded = false
		work = time.Duration(1000+rnd.IntN(6000)) * time.Millisecond
		j.body = tasks(1+rnd.IntN(4), int64(50+rnd.IntN(300)), work, min(work, 2*time.Second), true)
	}
	if rnd.IntN(10) == 0 {
		j.body.Steps[0].MaxPerServer = 1
	}
	if rnd.IntN(3) == 0 {
		s := j.body.Steps[0]
		s.DependsOn = []int{0}
		j.body.Steps = append(j.body.Steps, s)
	}
	if rnd.IntN(5) == 0 {
		j.body.Spec = fmt.Sprintf(`{"work_ms":%d,"cpu":%d,"fail":%g}`, work.Milliseconds(), j.body.Steps[0].CPUMillis, 0.4)
	}
	f.mu.Lock()
	f.jobs[j.id] = j
	f.mu.Unlock()
	for try := range 3 {
		limit := time.Duration(1500+rnd.IntN(2500)) * time.Millisecond
		j.attempts++
		a := f.c.call(http.MethodPost, f.d.entries[rnd.IntN(len(f.d.entries))], j.path+j.id, j.body, limit)
		rejected := a.status == 503 || a.status == 429 || a.status == 404
		if a.status/100 == 2 {
			j.accepted, j.allRejected = true, false
			break
		}
		if !rejected {
			j.allRejected = false
		} else if try > 0 || rnd.IntN(2) == 0 {
			break
		}
		time.Sleep(retransmit)
	}
	if j.accepted && j.recorded && rnd.IntN(6) == 0 {
		time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
		f.mu.Lock()
		j.cancelSent = true
		f.mu.Unlock()
		if a := f.c.call(http.MethodDelete, f.d.entries[rnd.IntN(len(f.d.entries))], j.path+j.id, nil, 2*time.Second); a.status/100 == 2 || a.status == 410 {
			f.mu.Lock()
			j.cancelAcked = sinceStart()
			f.mu.Unlock()
		}
	}
	if j.accepted && j.recorded && rnd.IntN(10) == 0 {
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		f.c.call(http.MethodPost, f.d.entries[rnd.IntN(len(f.d.entries))], j.path+j.id, j.body, 1500*time.Millisecond)
	}
}

// trouble begins a random disruption.
func (f *fuzzer) trouble(rnd *rand.Rand, wg *sync.WaitGroup) {
	d := f.d
	ms := func(a, b int) time.Duration { return time.Duration(a+rnd.IntN(b-a)) * time.Millisecond }
	agent := d.agents[rnd.IntN(len(d.agents))]
	proc := agent
	if rnd.IntN(4) == 0 {
		proc = d.entries[rnd.IntN(len(d.entries))]
	}
	ex := d.executors[rnd.IntN(len(d.executors))]
	dur := ms(300, 4500)
	after := func(t time.Duration, fn func()) {
		wg.Add(1)
		time.AfterFunc(t, func() { defer wg.Done(); fn() })
	}
	switch rnd.IntN(24) {
	case 0:
		proc.kill()
		after(ms(300, 3500), func() { proc.restart() })
	case 1:
		proc.signal(syscall.SIGSTOP)
		after(dur, func() { proc.signal(syscall.SIGCONT) })
	case 2:
		proc.signal(syscall.SIGTERM)
		after(6500*time.Millisecond, func() { proc.kill(); time.Sleep(300 * time.Millisecond); proc.restart() })
	case 3:
		ex.crash(ex.name, ms(300, 4000))
	case 4:
		ex.setGrey(1)
		after(ms(200, 2500), func() { ex.setGrey(0) })
	case 5:
		ex.setGrey(0.4)
		after(dur, func() { ex.setGrey(0) })
	case 6:
		ex.setLate(0.3)
		after(dur, func() { ex.setLate(0) })
	case 7, 8:
		mode := []storeMode{storeBusy, storeSilent, storeLost, storeLate}[rnd.IntN(4)]
		d.store.setMode(proc.name, mode, 1)
		after(dur, func() { d.store.setMode(proc.name, storeServes, 0) })
	case 9:
		mode := []storeMode{storeBusy, storeSilent, storeLost, storeLate}[rnd.IntN(4)]
		for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
			d.store.setMode(p.name, mode, 0.35)
			after(dur, func() { d.store.setMode(p.name, storeServes, 0) })
		}
	case 10:
		for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
			d.store.setMode(p.name, storeSilent, 1)
			after(dur, func() { d.store.setMode(p.name, storeServes, 0) })
		}
	case 11:
		d.store.rebalance()
	case 12, 13:
		if agent.link == nil {
			return
		}
		agent.link.setBlocked(true, rnd.IntN(2) == 0)
		after(dur, func() { agent.link.setBlocked(false, false) })
	case 14:
		if agent.link != nil {
			agent.link.reset()
		}
	case 15:
		// Reports of a lifetime that has crashed arrive late.
		held := ex.currentReport()
		ex.crash(ex.name, ms(100, 800))
		for range 3 {
			after(ms(1500, 6000), func() { ex.send(held.id, held.body) })
		}
	case 16:
		d.store.rebalance()
		after(ms(50, 900), func() { d.store.rebalance() })
	case 17:
		// The store turns the agents away one after the other.
		gap := ms(1000, 3000)
		for i, p := range d.agents {
			after(time.Duration(i)*gap, func() { d.store.setMode(p.name, storeBusy, 1) })
			after(time.Duration(i)*gap+4500*time.Millisecond, func() { d.store.setMode(p.name, storeServes, 0) })
		}
	case 18:
		for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
			if rnd.IntN(5) < 3 {
				p.kill()
				after(ms(500, 4000), func() { p.restart() })
			}
		}
	case 19:
		// A slow machine: it runs a fifth of the time.
		wg.Go(func() {
			for end := sinceStart() + dur; sinceStart() < end; {
				proc.signal(syscall.SIGSTOP)
				time.Sleep(80 * time.Millisecond)
				proc.signal(syscall.SIGCONT)
				time.Sleep(20 * time.Millisecond)
			}
		})
	case 20:
		d.store.setLatency(240 * time.Millisecond)
		after(dur, func() { d.store.setLatency(storeLatency) })
	case 21:
		wg.Go(func() { ex.leave(ms(500, 3000)) })
	case 22:
		// Two machines freeze and wake at different times.
		for _, p := range []*process{agent, d.agents[rnd.IntN(len(d.agents))]} {
			p.signal(syscall.SIGSTOP)
			after(ms(300, 4500), func() { p.signal(syscall.SIGCONT) })
		}
	case 23:
		// A machine loses the store and freezes.
		agent.signal(syscall.SIGSTOP)
		d.store.setMode(agent.name, storeLate, 0.6)
		after(ms(500, 2000), func() { agent.signal(syscall.SIGCONT) })
		after(ms(2000, 6000), func() { d.store.setMode(agent.name, storeServes, 0) })
	}
}

// check checks the rules after a quiet time.
func (f *fuzzer) check() {
	r, h := f.record, f.d.history
	for _, pair := range h.overlapping(leastOverlap) {
		a, b := pair[0], pair[1]
		r.violation("TWICE (same time): %s run %d at %s %v-%v (%s), run %d at %s %v-%v (%s)", a.task, a.number, a.executor, a.start, a.end, a.how, b.number, b.executor, b.start, b.end, b.how)
	}
	byTask := make(map[string][]runEntry)
	for _, e := range h.all() {
		byTask[e.task] = append(byTask[e.task], e)
	}
	for task, runs := range byTask {
		j := f.jobs[strings.Split(task, ".")[0]]
		if j == nil {
			r.violation("UNASKED: %s", task)
			continue
		}
		if j.allRejected && !j.accepted {
			r.violation("REFUSED: %s started, all %d attempts were rejected", task, j.attempts)
		}
		for _, e := range runs {
			if j.cancelAcked > 0 && (e.start > j.cancelAcked+3*time.Second || e.end > j.cancelAcked+3*time.Second+100*time.Millisecond) {
				r.violation("UNASKED: %s run %d at %s from %v to %v, cancel acked at %v", task, e.number, e.executor, e.start, e.end, j.cancelAcked)
			}
		}
		if !j.recorded {
			continue
		}
		for _, e := range runs {
			failed := 0
			for _, o := range runs {
				if o.end == 0 || o.ackedAt == 0 || o.lapsed || o.end > e.start {
					continue
				}
				if o.how == "done" {
					r.violation("TWICE (after done): %s run %d at %s ended done at %v, acked at %v; run %d at %s started at %v", task, o.number, o.executor, o.end, o.ackedAt, e.number, e.executor, e.start)
				}
				if o.how == "failed" {
					failed++
				}
			}
			if failed >= 3 {
				r.violation("BUDGET: %s run %d starts at %v after %d failed runs", task, e.number, e.start, failed)
			}
			if strings.Contains(task, ".0.1.") {
				for i := range j.body.Steps[0].Count {
					ok := false
					for _, o := range byTask[fmt.Sprintf("%s.0.0.%d", j.id, i)] {
						ok = ok || o.how == "done" && o.end <= e.start
					}
					if !ok {
						r.violation("ORDER: %s started at %v before task %d of step 0 was done", task, e.start, i)
					}
				}
			}
		}
	}
	n := 0
	for _, j := range f.jobs {
		if !j.recorded || !j.accepted {
			continue
		}
		n++
		a := f.c.call(http.MethodGet, f.d.entries[n%len(f.d.entries)], j.path+j.id, nil, 2*time.Second)
		failing := strings.Contains(j.body.Spec, "fail")
		switch {
		case j.cancelSent && (a.state == "cancelled" || a.state == "completed" || a.state == "failed" || a.status == 410):
		case a.state == "completed":
			for s := range j.body.Steps {
				for i := range j.body.Steps[s].Count {
					ok := false
					for _, o := range byTask[fmt.Sprintf("%s.0.%d.%d", j.id, s, i)] {
						ok = ok || o.how == "done"
					}
					if !ok {
						r.violation("MIXED: %s completed, task %d.%d never done", j.id, s, i)
					}
				}
			}
		case a.state == "failed" && failing:
		case a.state == "failed":
			crashes := 0
			for _, o := range h.of(j.id) {
				if o.how == "crashed" {
					crashes++
				}
			}
			if crashes < 2 {
				r.violation("LOST: %s failed without cause", j.id)
			}
		default:
			r.violation("LOST: %s %s, runs %s", j.id, a, h.summary(j.id))
		}
	}
	r.add("checked %d recorded accepted jobs of %d", n, len(f.jobs))
	fmt.Println("jobs", len(f.jobs), "accepted recorded", n, "runs", len(h.all()))
}

// linkRelay is a relay in front of the links of an agent.
type linkRelay struct {
	target string
	mu     sync.Mutex
	cond   *sync.Cond
	in     bool // blocked towards the agent
	out    bool // blocked from the agent
	conns  map[net.Conn]bool
}

func newLinkRelay(addr, target string) (*linkRelay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &linkRelay{target: target, conns: make(map[net.Conn]bool)}
	r.cond = sync.NewCond(&r.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *linkRelay) serve(c net.Conn) {
	t, err := net.Dial("tcp", r.target)
	if err != nil {
		c.Close()
		return
	}
	r.mu.Lock()
	r.conns[c], r.conns[t] = true, true
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.pipe(t, c, &r.in) })
	wg.Go(func() { r.pipe(c, t, &r.out) })
	wg.Wait()
	c.Close()
	t.Close()
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, t)
	r.mu.Unlock()
}

func (r *linkRelay) pipe(dst, src net.Conn, blocked *bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		r.mu.Lock()
		for *blocked {
			r.cond.Wait()
		}
		r.mu.Unlock()
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				src.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				dst.Close()
			} else if t, ok := dst.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
	}
}

func (r *linkRelay) setBlocked(on, oneWay bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.in, r.out = on, on
	if on && oneWay {
		r.out = false
	}
	r.cond.Broadcast()
}

func (r *linkRelay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}
