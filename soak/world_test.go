package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/platform/standin"
)

// partitions is what the stand-in of the store shares out of each topic.
const partitions = 4

// routes is a configuration. The second route comes and goes.
const configFormat = `{"version":%d,"routes":[{"name":"quotes","host":"desk.example","path_prefix":"/q/","timeout_ms":%d,
"target_latency_ms":60,"priority":0,"service":"desk","max_attempts":3,"slack_factor":1.6}%s],"limits":{"max_body_bytes":262144}}`

// world is one system with its surroundings.
type world struct {
	t      *testing.T
	seed   uint64
	dir    string
	store  *standin.Store
	ledger *standin.Ledger
	agents []*agent
	// entries are the entries' processes, fronts where their clients connect.
	entries     []*process
	clientAddrs []string
	relays      []*relay

	mu sync.Mutex
	// All fields below are guarded by mu.

	violations    []string
	configVersion int
	// drains counts the present drains of each failure domain.
	drains map[string]int
	// failing is set once backend servers were told to fail all runs.
	failing bool
}

// agent is an agent's process with the backend server beside it.
type agent struct {
	*process
	w           *world
	domain      string
	reportsAddr string
	// server is the way to the backend server, links that to the agent.
	serverRelay, linkRelay *relay

	mu sync.Mutex
	// All fields below are guarded by mu.

	server          *standin.BackendServer
	serverInstances int
}

// fault notes what must not have happened.
func (w *world) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func newWorld(t *testing.T, seed uint64, entries, agents int) *world {
	t.Helper()
	w := &world{t: t, seed: seed, dir: logDir(t, seed), store: standin.NewStore(), ledger: standin.NewLedger(), drains: make(map[string]int)}
	t.Cleanup(w.end)
	w.configure()
	for i := range agents {
		w.agents = append(w.agents, w.newAgent(fmt.Sprintf("agent-%d", i), domains[i%len(domains)]))
	}
	for i := range entries {
		w.newEntry(fmt.Sprintf("entry-%d", i))
	}
	for _, p := range w.processes() {
		p.start()
	}
	return w
}

// keepDir is a directory whose logs stay if the test fails.
func logDir(t *testing.T, seed uint64) string {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the processes' logs are in %s", dir)
			return
		}
		if err := os.RemoveAll(dir); err != nil {
			t.Log(err)
		}
	})
	return dir
}

func (w *world) processes() []*process {
	out := append([]*process{}, w.entries...)
	for _, a := range w.agents {
		out = append(out, a.process)
	}
	return out
}

// hosts numbers the loopback addresses in use. A process's ports stay free while it
// is away, since no outgoing connection is given a port of its address.
var lastHost atomic.Int32

func address(t *testing.T) string {
	t.Helper()
	host := lastHost.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, 1+host/250, 1+host%250))
	if err != nil {
		t.Fatal(err)
	}
	defer closeListener(l)
	return l.Addr().String()
}

// relayTo puts a relay before an address.
func (w *world) relayTo(target string) *relay {
	w.t.Helper()
	r, err := newRelay("127.0.0.1:0", target)
	if err != nil {
		w.t.Fatal(err)
	}
	w.relays = append(w.relays, r)
	return r
}

// settings fills in what all processes have. Each reaches the store at an address,
// and through a relay, of its own.
func (w *world) settings(role, name, domain, listen, server string) string {
	w.t.Helper()
	addr, err := w.store.Listen(name)
	if err != nil {
		w.t.Fatal(err)
	}
	return fmt.Sprintf(`{
"role": %q, "name": %q, "zone": %q, "links": 3, "listen": {%s}, "server": {"address": %q},
"store": {"address": %q, "writes_per_second": 800, "topics": 1, "partitions": %d, "min_ttl": "1s"},
"bounds": {"lease": "1s", "grace": "6s", "retention": "2m", "remote_factor": 1.5},
"limits": {"memory_mb": 152},
}`, role, name, domain, listen, server, w.relayTo(addr).addr(), partitions)
}

func (w *world) newAgent(name, domain string) *agent {
	a := &agent{w: w, domain: domain, reportsAddr: address(w.t)}
	links := address(w.t)
	a.linkRelay = w.relayTo(links)
	a.serverRelay = w.relayTo("127.0.0.1:1") // until there is one
	listen := fmt.Sprintf(`"reports": %q, "links": %q, "links_announced": %q`, a.reportsAddr, links, a.linkRelay.addr())
	a.process = newProcess(w.t, w.dir, name, w.settings("agent", name, domain, listen, a.serverRelay.addr()))
	a.replaceServer()
	return a
}

const (
	// serverCPU is what a backend server has, in thousandths of a core.
	serverCPU = 4000
	// roomGrace is how long an agent may go by an old capacity: it may be frozen for 4 s,
	// and a start be carried out 4.5 s late.
	capacityGrace = 9 * time.Second
)

// domains are the failure domains. Agents stand in them in turn.
var domains = []string{"jeonju", "iksan", "gunsan"}

// drainHeard is how long after a drain an agent may still start something: it may be frozen
// for 4 s, a start be carried out 4.5 s late, and who has lost the store looks after 2 s.
const drainGrace = 13 * time.Second

// drain drains a failure domain, or ends one of its drains.
func (w *world) drain(domain string, drained bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wasDrained := w.drains[domain] > 0
	if drained {
		w.drains[domain]++
	} else {
		w.drains[domain]--
	}
	isDrained := w.drains[domain] > 0
	if wasDrained == isDrained {
		return
	}
	value := []byte(`{}`)
	if !isDrained {
		value = nil
	}
	w.store.Put("keyed.op", "evacuate/"+domain, value)
	for _, a := range w.agents {
		if a.domain == domain {
			a.withServer(func(e *standin.BackendServer) { drainServer(e, isDrained) })
		}
	}
}

func drainServer(e *standin.BackendServer, drained bool) {
	if drained {
		e.Drain(drainGrace)
		return
	}
	e.Undrain()
}

// newServer replaces the backend server beside an agent by another instance.
func (a *agent) replaceServer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.server != nil {
		a.server.Close()
	}
	a.serverInstances++
	e, err := standin.NewBackendServer(standin.BackendServerConfig{
		Instance: fmt.Sprintf("i-%s-%d", a.name, a.serverInstances), Service: "desk", Labels: []string{"a"}, CPUMillis: serverCPU, MemoryMB: 4096, CapacityGrace: capacityGrace,
	}, a.w.ledger)
	if err != nil {
		a.w.t.Error(err)
		return
	}
	a.server = e
	a.serverRelay.redirect(e.Addr())
	e.ReportTo(a.reportsAddr)
}

// serverDo does something to the present backend server.
func (a *agent) withServer(f func(*standin.BackendServer)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.server)
}

func (w *world) newEntry(name string) {
	clientAddr := address(w.t)
	listen := fmt.Sprintf(`"clients": %q, "ready": %q`, clientAddr, address(w.t))
	w.entries = append(w.entries, newProcess(w.t, w.dir, name, w.settings("entry", name, domains[0], listen, "")))
	w.clientAddrs = append(w.clientAddrs, clientAddr)
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configVersion++
	other := ""
	if w.configVersion%2 == 0 {
		other = `,{"name":"other","host":"other.example","path_prefix":"/o/","timeout_ms":1500,"service":"desk","max_attempts":1,"slack_factor":2}`
	}
	w.store.Put("keyed.op", "config", fmt.Appendf(nil, configFormat, w.configVersion, 1500+w.configVersion, other))
}

func (w *world) end() {
	for _, p := range w.processes() {
		p.kill()
	}
	for _, a := range w.agents {
		a.withServer((*standin.BackendServer).Close)
	}
	for _, r := range w.relays {
		r.close()
	}
	w.store.Close()
}

// heal ends all faults and brings every process back.
func (w *world) clearFaults() {
	w.store.SetFault("", standin.NoFault)
	for _, r := range w.relays {
		r.setMode(forward, 0)
		r.reset() // what a silent connection swallowed never comes
	}
	for _, a := range w.agents {
		a.withServer(func(e *standin.BackendServer) {
			e.DropStartResponses(false)
			e.DelayStarts(0)
			e.FailAll(false)
			e.Resize(serverCPU)
		})
	}
	for _, p := range w.processes() {
		w.store.SetFault(p.name, standin.NoFault)
	}
}

// logsOf returns the lines of all processes that name a job.
func (w *world) logsOf(id string) string {
	var out strings.Builder
	files, err := filepath.Glob(filepath.Join(w.dir, "*.log"))
	if err != nil {
		return err.Error()
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			continue // the directory tells who looks
		}
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, id) {
				out.WriteString(strings.TrimSuffix(filepath.Base(f), ".log") + " " + line)
			}
		}
	}
	return out.String()
}

// random returns a generator for one part of a seed.
func (w *world) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(w.seed, part)) }

// patience bounds waits at the end; nothing is asserted of how long they take.
const eventuallyTimeout = 60 * time.Second
