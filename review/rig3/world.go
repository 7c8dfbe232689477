package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// world is a small deployment with its surroundings.
type world struct {
	dir     string
	log     *record
	store   *store
	entries []*entryHost
	agents  []*agentHost
	hosts   int
	version int
}

type entryHost struct {
	*process
	front, ready string
}

type agentHost struct {
	*process
	server       *server
	control, app string
	// relay leads to the agent's links.
	relay         *relay
	serverOptions serverOptions
	lives         int
}

type serverOptions struct {
	service string
	cpu     int64
	labels  []string
}

// route is a queue of the configuration.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path_prefix"`
	Timeout  int64   `json:"timeout_ms"`
	Target   int64   `json:"target_latency_ms"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"max_attempts"`
	Slack    float64 `json:"slack_factor"`
}

const (
	service = "bench-desk"
	host    = "desk.example"
)

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	log, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, log: log, store: st}, nil
}

// configure puts the next version of the configuration into the store.
func (w *world) configure(routes ...route) {
	w.version += 3
	b, _ := json.Marshal(map[string]any{"version": w.version, "routes": routes, "services": []map[string]any{{"name": service, "enforce_capacity": false}},
		"limits": map[string]any{"max_body_bytes": 262144}})
	w.store.put("keyed.op", "config", b)
	w.log.say("configuration %d: %d routes", w.version, len(routes))
}

// address returns a free port at a loopback address of its own, so that no outgoing connection takes it.
func (w *world) address() string {
	w.hosts++
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 100+os.Getpid()%100, 1+os.Getpid()/100%250, w.hosts))
	if err != nil {
		panic(err)
	}
	defer l.Close() //nolint:errcheck // it is only used for the number
	return l.Addr().String()
}

// settings fills in what deploy/settings.jsonc does.
func (w *world) settings(role, name, zone, links, listen, app string, memory, fds int) string {
	var seeds []string
	for _, a := range w.agents {
		seeds = append(seeds, strconv.Quote(a.control))
	}
	return fmt.Sprintf(`{
"role": %q, "name": %q, "zone": %q, "links": 32, "seeds": [%s],
"listen": {%s, "links": %q},
"store": {"address": %q, "writes_per_second": 800, "topics": 2, "partitions": 8, "min_ttl": "1000ms"},
"owners": {"start_spread": "5s"}, "server": {"address": %q},
"bounds": {"max_lease": "1000ms", "config_apply": "2000ms", "grace": "6s", "retention": "120s", "remote_factor": 1.5},
"scheduling": {"server_speeds": true, "shedding": true},
"limits": {"memory_mb": %d, "max_fds": %d}
}`, role, name, zone, strings.Join(seeds[:min(len(seeds), 3)], ","), listen, links, w.store.addr, app, memory, fds)
}

var zones = []string{"jeonju-hall", "iksan-hall", "gunsan-hall"}

func (w *world) addAgent(o serverOptions) error {
	i := len(w.agents)
	name := fmt.Sprintf("side-%d", i)
	a := &agentHost{control: w.address(), app: w.address(), serverOptions: o}
	links := w.address()
	var err error
	if a.relay, err = newRelay(w.address(), links); err != nil {
		return err
	}
	a.process, err = newProcess(w.dir, name, w.settings("agent", name, zones[i%3], links, fmt.Sprintf(`"links_announced": %q, "reports": %q`, a.relay.addr, a.control), a.app, 152, 4096), w.log)
	if err != nil {
		return err
	}
	w.agents = append(w.agents, a)
	return a.newLife(w.log)
}

// newLife starts the executor of a host, which has no other life.
func (a *agentHost) newLife(log *record) error {
	a.lives++
	var err error
	a.server, err = newServer(fmt.Sprintf("i-%s-%d", a.name, a.lives), a.serverOptions.service, a.app, a.control, a.serverOptions.cpu, a.serverOptions.labels, log)
	return err
}

func (w *world) addEntry() error {
	name := fmt.Sprintf("edge-%d", len(w.entries))
	e := &entryHost{front: w.address(), ready: w.address()}
	links := w.address()
	var err error
	e.process, err = newProcess(w.dir, name, w.settings("entry", name, zones[len(w.entries)%3], links, fmt.Sprintf(`"clients": %q, "ready": %q`, e.front, e.ready), "", 284, 4100), w.log)
	if err != nil {
		return err
	}
	w.entries = append(w.entries, e)
	return nil
}

// start starts a deployment of entries and agents, and waits until its entries report ready.
func (w *world) start(entries, agents int, o serverOptions, routes ...route) error {
	w.configure(routes...)
	for range agents {
		if err := w.addAgent(o); err != nil {
			return err
		}
	}
	for range entries {
		if err := w.addEntry(); err != nil {
			return err
		}
	}
	for _, a := range w.agents {
		if err := a.start(); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if !within(20*time.Second, func() bool { return get(e.ready, "/v1/readyz") == 200 }) {
			return fmt.Errorf("%s is not ready", e.name)
		}
	}
	w.log.say("the deployment is ready")
	return nil
}

// within reports whether a condition holds within a time.
func within(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

func (w *world) end() {
	for _, e := range w.entries {
		e.kill()
	}
	for _, a := range w.agents {
		a.kill()
		a.relay.listener.Close() //nolint:errcheck // an error has no consequence here
		if a.server != nil {
			a.server.crash()
		}
	}
	w.store.srv.Close() //nolint:errcheck // an error has no consequence here
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir) //nolint:errcheck // it is a temporary folder
	} else {
		fmt.Println("logs in", w.dir)
	}
}
