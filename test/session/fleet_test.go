package session

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/standin/logserver"
	"github.com/shallotstep/shallotstep/state"
)

const (
	// maxAway is how many agents are away at once, of randomAgents.
	maxAway = 2
	// comeBack is more than an eviction takes, a join and the pulls.
	comeBack = 25 * time.Second
)

// host is one machine with a backend server and its agent, or one with an entry.
// Its processes are started anew on the same settings, as a supervisor does.
type host struct {
	name     string
	settings string
	// http is where the process listens, whatever its incarnation.
	http    string
	process *process
	backend *backendserver.Server
	paused  bool
	// stopping is set once SIGTERM was sent.
	stopping bool
	// struckAt is when the process was last killed, paused or stopped.
	struckAt time.Time
}

// fleet is a system whose hosts come and go.
type fleet struct {
	*system
	rng     *rand.Rand
	agents  []*host
	entries []*host
	// started are all backend servers that ever ran: what the dead ones started
	// counts as well.
	started []*backendserver.Server
	// story is what happened, for a failure's message.
	story []string
}

func newFleet(t testing.TB, seed uint64, agents, entries int) *fleet {
	t.Helper()
	f := &fleet{
		system: &system{t: t, o: options{evictAfter: soonEvict}, dir: t.TempDir(), log: logserver.New(logserver.Options{})},
		rng:    rand.New(rand.NewPCG(seed, 0)),
	}
	server := httptest.NewServer(f.log)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.logURL = server.URL
	for i := range agents {
		f.addAgent(fmt.Sprintf("agent-%d", i+1), domains[i%len(domains)])
	}
	for i := range entries {
		f.addEntry(fmt.Sprintf("entry-%d", i+1))
	}
	f.declare()
	return f
}

func (f *fleet) addAgent(name, domain string) {
	h := &host{name: name, http: reservePort(f.t)}
	c := f.node("agent", name, domain)
	c["listen"] = settings{"http": h.http, "peer": reservePort(f.t)}
	c["timeouts"] = settings{"evict_after": f.o.evictAfter}
	h.settings = f.write(name, c)
	f.agents = append(f.agents, h)
	f.start(h)
	f.startBackendAt(h)
}

func (f *fleet) addEntry(name string) {
	h := &host{name: name, http: reservePort(f.t)}
	c := f.node("entry", name, domains[0])
	c["listen"] = settings{"http": h.http}
	h.settings = f.write(name, c)
	f.entries = append(f.entries, h)
	f.start(h)
}

func (f *fleet) start(h *host) {
	h.process = startProcess(f.t, h.name, h.settings)
	h.paused, h.stopping = false, false
}

func (f *fleet) startBackendAt(h *host) {
	h.backend = backendserver.New(backendserver.Options{
		Services: []string{service}, Slots: slots, AgentURL: "http://" + h.http, Seed: f.rng.Uint64(),
	})
	if err := h.backend.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(h.backend.Kill)
	f.started = append(f.started, h.backend)
}

// revive starts what has ended on a host.
func (f *fleet) revive(h *host) {
	if !h.process.running() {
		f.start(h)
	}
}

func (h *host) pause() {
	if !h.paused && h.process.running() {
		h.struckAt = time.Now()
		h.paused = h.process.cmd.Process.Signal(syscall.SIGSTOP) == nil
	}
}

func (h *host) resume() {
	if h.paused {
		h.paused = false
		_ = h.process.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// killHost ends the process as a host that dies, with its backend server or
// without.
func (f *fleet) killHost(h *host, whole bool) {
	h.resume()
	h.struckAt = time.Now()
	_ = h.process.cmd.Process.Kill()
	<-h.process.ended
	if whole && h.backend != nil {
		h.backend.Kill()
		f.startBackendAt(h)
	}
}

func (f *fleet) terminate(h *host) {
	if h.process.running() && !h.paused {
		h.stopping = true
		h.struckAt = time.Now()
		_ = h.process.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// mayStrike reports whether one more agent may be taken away: with both members of
// a pair gone at once its share closes, as it has to, until their claims expire.
func (f *fleet) mayStrike() bool {
	away := 0
	for _, h := range f.agents {
		if h.paused || !h.process.running() || time.Since(h.struckAt) < comeBack {
			away++
		}
	}
	return away < maxAway
}

// declare applies the declaration and waits until every entry serves it.
func (f *fleet) declare() {
	f.t.Helper()
	for _, h := range f.entries {
		f.awaitServing(h)
	}
	if r := f.client(f.entries[0]).apply(operator, 0, declarationFile(f.t, "declaration.json")); r.status != http.StatusOK {
		f.t.Fatalf("the first apply: %s", r)
	}
	for i, h := range f.entries {
		f.submitsAgain(h, fmt.Sprintf("first-%d", i))
	}
}

func (f *fleet) client(h *host) *client {
	return &client{t: f.t, base: "http://" + h.http, http: &http.Client{Timeout: hang}}
}

// awaitServing waits until an entry knows every agent.
func (f *fleet) awaitServing(h *host) {
	f.t.Helper()
	h.process.await("knowing the agents", func() bool {
		r := f.client(h).get("/v1/status")
		if r.status != http.StatusOK {
			return false
		}
		return len(f.client(h).status().Roster) >= len(f.agents)
	})
}

// submitsAgain waits until an entry completes a job, as a caller does that comes
// back with a new id after each refusal.
func (f *fleet) submitsAgain(h *host, prefix string) {
	f.t.Helper()
	last := reply{}
	try := 0
	awaitOr(f.t, "a complete job through "+h.name, func() bool {
		try++
		last = f.client(h).submit(job(fmt.Sprintf("%s-%d", prefix, try), 2, 0))
		return last.status == http.StatusOK
	}, func() string { time.Sleep(50 * time.Millisecond); return "" })
}

// startsOf counts the starts of each of a job's tasks at all backend servers.
func (f *fleet) startsOf(id string, tasks int) (sum, most int) {
	for i := range tasks {
		key := state.TaskKey{Job: state.JobKey{Service: service, ID: id}, Index: i}
		n := 0
		for _, b := range f.started {
			n += b.Starts(key)
		}
		sum += n
		most = max(most, n)
	}
	return sum, most
}
