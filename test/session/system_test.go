package session

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/standin/logserver"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	operator = "haneul"
	service  = "bench-desk"
	region   = "jeonbuk"
	slots    = 8
	// neverEvict is longer than any test: who dies stays in the roster.
	neverEvict = "5m"
	// soonEvict is the shortest that the settings allow.
	soonEvict = "10s"
)

var domains = []string{"jeonju", "iksan", "gunsan"}

// systems bounds how many systems run at once, so that a busy machine doesn't
// starve their processes.
var systems = make(chan struct{}, 4)

// notShort skips a test in short mode, which runs the golden session and two
// failures: a dead home and a dead entry.
func notShort(t testing.TB) {
	t.Helper()
	if testing.Short() {
		t.Skip("short mode")
	}
}

// options say what a system is made of.
type options struct {
	entries int
	// evictAfter is the setting timeouts.evict_after.
	evictAfter string
	// apply is the setting timeouts.apply; empty for its default.
	apply string
	// trust, when set, gives every process its certificate and tokens.
	trust *trust
}

// system is a whole system of separate processes.
type system struct {
	t        testing.TB
	o        options
	dir      string
	log      *logserver.Server
	logURL   string
	entries  []*process
	agents   []*process
	backends []*backendserver.Server
}

// newSystem starts a system and waits until every entry knows all of it.
func newSystem(t testing.TB, o options) *system {
	t.Helper()
	systems <- struct{}{}
	t.Cleanup(func() { <-systems })
	if o.evictAfter == "" {
		o.evictAfter = neverEvict
	}
	s := &system{t: t, o: o, dir: t.TempDir(), log: logserver.New(logserver.Options{})}
	server := httptest.NewServer(s.log)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.logURL = server.URL
	for i, domain := range domains {
		a := s.startAgent(fmt.Sprintf("agent-%d", i+1), domain)
		s.agents = append(s.agents, a)
		s.backends = append(s.backends, s.startBackend(a))
	}
	for i := range max(1, o.entries) {
		s.entries = append(s.entries, s.startEntry(fmt.Sprintf("entry-%d", i+1)))
	}
	for _, e := range s.entries {
		s.awaitAgents(e, len(s.agents))
	}
	return s
}

// newDeclaredSystem also applies the declaration and waits until it is in
// force at every entry.
func newDeclaredSystem(t testing.TB, o options) *system {
	t.Helper()
	s := newSystem(t, o)
	r := s.entry(0).apply(operator, 0, declarationFile(t, "declaration.json"))
	if r.status != http.StatusOK {
		t.Fatalf("the first apply: %s", r)
	}
	s.awaitVersion(1)
	return s
}

func declarationFile(t testing.TB, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// node is what the settings of entries and agents share.
func (s *system) node(role, name, domain string) settings {
	c := settings{
		"role": role, "name": name, "region": region, "failure_domain": domain,
		"log": settings{"url": s.logURL},
	}
	if s.o.trust != nil {
		s.o.trust.add(s.t, c, name)
	}
	return c
}

func (s *system) startAgent(name, domain string) *process {
	s.t.Helper()
	c := s.node("agent", name, domain)
	peer := reservePort(s.t)
	c["listen"] = settings{"http": "127.0.0.1:0", "peer": peer}
	c["timeouts"] = settings{"evict_after": s.o.evictAfter}
	p := startProcess(s.t, name, s.write(name, c))
	p.peer = peer
	g := p.awaitLog(servesPattern)
	p.node, p.http = g[1], g[2]
	return p
}

func (s *system) startEntry(name string) *process {
	s.t.Helper()
	c := s.node("entry", name, domains[0])
	c["listen"] = settings{"http": "127.0.0.1:0"}
	if s.o.apply != "" {
		c["timeouts"] = settings{"apply": s.o.apply}
	}
	if s.o.trust != nil {
		s.o.trust.addEntry(s.t, c, name)
	}
	p := startProcess(s.t, name, s.write(name, c))
	g := p.awaitLog(servesPattern)
	p.node, p.http = g[1], g[2]
	return p
}

var servesPattern = regexp.MustCompile(`"(?:Agent|Entry) serves" node="([^"]+)".* http="([^"]+)"`)

// startBackend starts a backend server and waits until its agent has it.
func (s *system) startBackend(a *process) *backendserver.Server {
	s.t.Helper()
	b := backendserver.New(backendserver.Options{
		Services: []string{service},
		Slots:    slots,
		AgentURL: "http://" + a.http,
		Token:    s.o.trust.backend(),
	})
	if err := b.Start(context.Background()); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Kill)
	a.await("taking the announcement", func() bool {
		select {
		case <-b.Announced():
			return true
		default:
			return false
		}
	})
	return b
}

// settings are a settings file.
type settings map[string]any

func (s *system) write(name string, c settings) string {
	s.t.Helper()
	raw, err := json.Marshal(c)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// Ports for peers lie below those that the kernel hands out for port 0, so that
// nobody takes one between its reservation and its use. Settings refuse port 0
// there, because others must know the port.
const (
	firstPort = 20000
	portCount = 10000
)

var reserved struct {
	sync.Mutex
	// ports is guarded by the lock.
	ports map[int]bool
}

func reservePort(t testing.TB) string {
	t.Helper()
	reserved.Lock()
	defer reserved.Unlock()
	if reserved.ports == nil {
		reserved.ports = make(map[int]bool)
	}
	for range portCount {
		port := firstPort + rand.IntN(portCount)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if reserved.ports[port] {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		reserved.ports[port] = true
		return addr
	}
	t.Fatal("no free port")
	return ""
}

// entry returns a client of an entry.
func (s *system) entry(i int) *client { return s.clientOf(s.entries[i]) }

func (s *system) clientOf(p *process) *client {
	c := &client{t: s.t, base: "http://" + p.http, http: &http.Client{Timeout: hang}}
	if s.o.trust != nil {
		s.o.trust.client(c, p)
	}
	return c
}

// awaitAgents waits until an entry knows n agents with backend servers and has
// them in its roster.
func (s *system) awaitAgents(e *process, n int) {
	s.t.Helper()
	e.await(fmt.Sprintf("knowing %d agents", n), func() bool {
		doc := s.clientOf(e).status()
		serving := 0
		for _, a := range doc.Agents {
			if a.Slots > 0 && !a.Draining {
				serving++
			}
		}
		return len(doc.Roster) == n && serving == n
	})
}

// awaitIdleView waits until an entry knows n agents and takes all their slots to
// be free: news of what has ended lags behind the answers.
func (s *system) awaitIdleView(e *process, n int) {
	s.t.Helper()
	s.awaitAgents(e, n)
	e.await("seeing free slots", func() bool {
		for _, a := range s.clientOf(e).status().Agents {
			if a.Free < a.Slots || a.Queued > 0 {
				return false
			}
		}
		return true
	})
}

// awaitVersion waits until the operator's version is in force at every entry and
// the entry has read its record in the log. A declaration may come from a peer
// first, and then stands in no history yet.
func (s *system) awaitVersion(v state.Version) {
	s.t.Helper()
	for _, e := range s.entries {
		if !e.running() {
			continue
		}
		e.await(fmt.Sprintf("having version %d", v), func() bool {
			doc := s.clientOf(e).status()
			return inForce(doc, v) && hasRead(doc, v)
		})
	}
}

func inForce(doc api.Status, v state.Version) bool {
	for _, d := range doc.Declarations {
		if d.Operator == operator && d.Version == v {
			return true
		}
	}
	return false
}

func hasRead(doc api.Status, v state.Version) bool {
	for _, stream := range doc.Log.Streams {
		if stream.Stream == "declarations" {
			return stream.Next > int64(v)
		}
	}
	return false
}

// roster returns the roster as the log has it.
func (s *system) roster() *roster.Roster {
	s.t.Helper()
	r := roster.New()
	for _, rec := range s.records("roster") {
		next, _, err := r.Apply(rec.Offset, rec.Data)
		if err != nil {
			s.t.Fatalf("roster record %d: %v", rec.Offset, err)
		}
		r = next
	}
	return r
}

// records returns a stream of the log. The stand-in is asked in this process,
// because faults would hit a request over the network.
func (s *system) records(stream string) []logserver.Record {
	s.t.Helper()
	faults := s.log.Faults()
	if faults.Outage || faults.Cut {
		s.t.Fatal("the log is out of service; the test reads it nonetheless")
	}
	w := httptest.NewRecorder()
	s.log.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/streams/"+stream+"/records?limit=1000", nil))
	var reply logserver.ReadReply
	if err := json.Unmarshal(w.Body.Bytes(), &reply); err != nil {
		s.t.Fatalf("read of %s: %v: %s", stream, err, w.Body)
	}
	return reply.Records
}

// jobAt returns a job id whose home is an agent. Ids begin with a prefix.
func (s *system) jobAt(prefix string, home *process) string {
	s.t.Helper()
	return s.jobWhere(prefix, func(p roster.Pair) bool { return p.Home == state.NodeID(home.node) })
}

// jobOfPair returns a job id with a home and a witness.
func (s *system) jobOfPair(prefix string, home, witness *process) string {
	s.t.Helper()
	return s.jobWhere(prefix, func(p roster.Pair) bool {
		return p.Home == state.NodeID(home.node) && p.Witness == state.NodeID(witness.node)
	})
}

// idTries is how many ids are looked at for one with a wanted pair.
const idTries = 10000

func (s *system) jobWhere(prefix string, ok func(roster.Pair) bool) string {
	s.t.Helper()
	r := s.roster()
	for i := range idTries {
		id := fmt.Sprintf("%s-%d", prefix, i)
		if ok(r.Pair(region, roster.ShareOf(state.JobKey{Service: service, ID: id}))) {
			return id
		}
	}
	s.t.Fatal("no share has the wanted pair")
	return ""
}

// backendOf returns the backend server beside an agent.
func (s *system) backendOf(p *process) *backendserver.Server {
	s.t.Helper()
	for i, a := range s.agents {
		if a == p {
			return s.backends[i]
		}
	}
	s.t.Fatalf("no backend server beside %s", p.name)
	return nil
}

// evicted reports whether the log's roster has dropped an agent.
func (s *system) evicted(a *process) bool {
	_, ok := s.roster().Member(state.NodeID(a.node))
	return !ok
}

// starts returns how often each task of a job was started, by index.
func (s *system) starts(id string) map[int]int {
	out := make(map[int]int)
	for _, b := range s.backends {
		for task, n := range b.AllStarts() {
			if task.Job.Service == service && task.Job.ID == id {
				out[task.Index] += n
			}
		}
	}
	return out
}

// started returns how many tasks of a job were started, each counted as often
// as it was.
func (s *system) started(id string) int {
	sum := 0
	for _, n := range s.starts(id) {
		sum += n
	}
	return sum
}

func (s *system) awaitStarted(id string, n int) {
	s.t.Helper()
	await(s.t, fmt.Sprintf("start of %d tasks of %s", n, id), func() bool { return s.started(id) >= n })
}

// noDouble fails when a task of any job was started twice.
func (s *system) noDouble() {
	s.t.Helper()
	all := make(map[state.TaskKey]int)
	for _, b := range s.backends {
		for task, n := range b.AllStarts() {
			all[task] += n
		}
	}
	for task, n := range all {
		if n > 1 {
			s.t.Errorf("task %d of %s was started %d times", task.Index, task.Job.ID, n)
		}
	}
}

// onceEach fails unless each of a job's tasks was started exactly once.
func (s *system) onceEach(id string, tasks int) {
	s.t.Helper()
	starts := s.starts(id)
	if len(starts) != tasks {
		s.t.Errorf("%s: %d of %d tasks were started", id, len(starts), tasks)
	}
	s.noDouble()
}

// idle waits until no backend server runs anything.
func (s *system) idle() {
	s.t.Helper()
	await(s.t, "idle backend servers", func() bool {
		for _, b := range s.backends {
			if b.Running() > 0 {
				return false
			}
		}
		return true
	})
}

// job writes the body of a job whose tasks echo their places.
func job(id string, tasks int, work time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"id":%q,"deadline_ms":50000,"tasks":[`, id)
	for i := range tasks {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"payload":{"work_ms":%d,"echo":"%s/%d"}}`, work.Milliseconds(), id, i)
	}
	b.WriteString("]}")
	return b.String()
}
