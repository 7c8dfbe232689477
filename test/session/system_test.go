package session

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/standin/logserver"
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
// force at every entry and every agent has read it. An entry may be ahead of a
// job's home by a moment; the home then refuses a service that it doesn't know,
// and a test that waits for the job's starts waits in vain.
func newDeclaredSystem(t testing.TB, o options) *system {
	t.Helper()
	s := newSystem(t, o)
	r := s.entry(0).apply(operator, 0, declarationFile(t, "declaration.json"))
	if r.status != http.StatusOK {
		t.Fatalf("the first apply: %s", r)
	}
	s.awaitVersion(1)
	for _, a := range s.agents {
		a.await("reading the declaration", func() bool {
			return strings.Contains(metric(s, a, readOne), readOne)
		})
	}
	return s
}

// readOne stands in the metrics of a node that has read one declaration.
const readOne = `shallotstep_declare_records_total{verdict="accepted"} 1`

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

// entry returns a client of an entry.
func (s *system) entry(i int) *client { return s.clientOf(s.entries[i]) }

func (s *system) clientOf(p *process) *client {
	c := &client{t: s.t, base: "http://" + p.http, http: &http.Client{Timeout: hang}}
	if s.o.trust != nil {
		s.o.trust.client(c, p)
	}
	return c
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
