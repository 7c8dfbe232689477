package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the listeners. Each process has a loopback address of its own.
const (
	portFront   = 8161
	portReady   = 8167
	portControl = 8166
	portLinks   = 7720
	portMetrics = 9464
	portStore   = 8169
	portApp     = 8080
)

// settingsFormat is the template of the settings, deploy/settings.jsonc, filled in for the small
// site.
const settingsFormat = `{
  "role": %q, "name": %q, "zone": %q, "links": 32, "seeds": [%s],
  "listen": {"clients": %q, "ready": %q, "reports": %q, "links": %q, "metrics": %q},
  "store": {"address": %q, "writes_per_second": 800.0, "topics": 2, "partitions": 8, "min_ttl": "1000ms"},
  "owners": {"start_spread": "5s"},
  "server": {"address": %q},
  "bounds": {"max_lease": "1000ms", "config_apply": "2000ms", "grace": "6s", "retention": "120s", "remote_factor": 1.5},
  "scheduling": {"server_speeds": true, "shedding": true},
  "limits": {"memory_mb": %d}
}
`

// configuration is the first version of the operator's configuration.
const configuration = `{"version":3,"routes":[
{"name":"quote","host":"haneul.example","path_prefix":"/quote/","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"bench-desk","max_attempts":3,"slack_factor":1.6},
{"name":"survey","host":"haneul.example","path_prefix":"/survey/","timeout_ms":4000,"target_latency_ms":2000,"priority":1,"service":"bench-desk","max_attempts":3,"slack_factor":2},
{"name":"batch","host":"haneul.example","path_prefix":"/batch/","timeout_ms":4000,"target_latency_ms":60000,"priority":2,"service":"bench-desk","max_attempts":3,"slack_factor":2}],
"services":[{"name":"bench-desk","enforce_capacity":false}],"limits":{"max_body_bytes":262144}}`

// deployment is a system under test and its stand-ins.
type deployment struct {
	record    *record
	history   *history
	store     *store
	dir       string
	entries   []*process
	agents    []*process
	executors []*executor
	next      int
	relays    bool
}

// process is a process of the system under test.
type process struct {
	record   *record
	name, ip string
	settings string
	log      string

	// link relays the links of an agent; nil: they are direct.
	link *linkRelay

	mu    sync.Mutex
	cmd   *exec.Cmd // guarded by mu
	alive bool      // guarded by mu
}

// running reports whether the process runs.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alive
}

// restart starts the process unless it runs.
func (p *process) restart() {
	if p.running() {
		return
	}
	if err := p.start(); err != nil {
		p.record.add("%s can't be started: %v", p.name, err)
	}
}

// newDeployment prepares a deployment: entries and agents in turn in three zones, each agent with an
// executor.
func newDeployment(r *record, entries, agents int) (*deployment, error) {
	return newRelayedDeployment(r, entries, agents, false)
}

// newRelayedDeployment is newDeployment with a relay in front of the links of each agent, if relays is
// set.
func newRelayedDeployment(r *record, entries, agents int, relays bool) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-rig2-")
	if err != nil {
		return nil, err
	}
	h := newHistory(r)
	d := &deployment{record: r, history: h, store: newStore(r), dir: dir, relays: relays}
	deploymentsMu.Lock()
	deployments = append(deployments, d)
	deploymentsMu.Unlock()
	d.store.put("keyed.op", "config", []byte(configuration))
	zones := []string{"jeonju-hall", "iksan-hall", "gunsan-hall"}
	var seeds string
	for i := range agents {
		p, err := d.newProcess("agent", fmt.Sprintf("side-%s-%d", zones[i%3], 1+i/3), zones[i%3], "")
		if err != nil {
			return nil, err
		}
		d.agents = append(d.agents, p)
		if i > 0 && i < 3 {
			seeds += ", "
		}
		if i < 3 {
			seeds += fmt.Sprintf("%q", address(p.ip, portControl))
		}
	}
	for i := range entries {
		p, err := d.newProcess("entry", fmt.Sprintf("edge-%s-%d", zones[i%3], 1+i/3), zones[i%3], seeds)
		if err != nil {
			return nil, err
		}
		d.entries = append(d.entries, p)
	}
	for i, p := range d.agents {
		e := newExecutor(r, h, fmt.Sprintf("i-%d", i), address(p.ip, portApp), address(p.ip, portControl), []string{"a", fmt.Sprintf("r%d-1", i)})
		if err := e.start(); err != nil {
			return nil, err
		}
		d.executors = append(d.executors, e)
	}
	return d, nil
}

var (
	deploymentsMu sync.Mutex
	// deployments are the deployments whose processes may run. Guarded by deploymentsMu.
	deployments []*deployment
)

// endDeployments ends all processes that were started, when the case itself is stopped.
func endDeployments() {
	deploymentsMu.Lock()
	defer deploymentsMu.Unlock()
	for _, d := range deployments {
		d.end()
	}
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// nextIP returns a loopback address on which none of the ports is in use.
func (d *deployment) nextIP() (string, error) {
	for range 200 {
		d.next++
		ip := fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%150, 1+os.Getpid()/150%250, d.next)
		if portsFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

func portsFree(ip string) bool {
	for _, port := range []int{portFront, portReady, portControl, portLinks, portMetrics, portStore, portApp} {
		l, err := net.Listen("tcp", address(ip, port))
		if err != nil {
			return false
		}
		l.Close() //nolint:errcheck // it was only a check
	}
	return true
}

func (d *deployment) newProcess(role, name, zone, seeds string) (*process, error) {
	ip, err := d.nextIP()
	if err != nil {
		return nil, err
	}
	if err := d.store.listen(name, address(ip, portStore)); err != nil {
		return nil, err
	}
	front, ready, control, app, memory := address(ip, portFront), address(ip, portReady), "", "", 284
	if role == "agent" {
		front, ready, control, app, memory = "", "", address(ip, portControl), address(ip, portApp), 152
	}
	text := fmt.Sprintf(settingsFormat, role, name, zone, seeds, front, ready, control, address(ip, portLinks), address(ip, portMetrics), address(ip, portStore), app, memory)
	var relay *linkRelay
	if role == "agent" && d.relays {
		behind, err := d.nextIP()
		if err != nil {
			return nil, err
		}
		if relay, err = newLinkRelay(address(behind, portLinks), address(ip, portLinks)); err != nil {
			return nil, err
		}
		text = strings.Replace(text, `"metrics":`, fmt.Sprintf(`"links_announced": %q, "metrics":`, address(behind, portLinks)), 1)
	}
	path := filepath.Join(d.dir, name+".jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return &process{record: d.record, name: name, link: relay, ip: ip, settings: path, log: filepath.Join(d.dir, name+".log")}, nil
}

// startAll starts all processes and waits until the entries are ready and a job is served.
func (d *deployment) startAll() error {
	for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range d.entries {
		if err := p.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// end kills all processes that were started and removes the temporary folder.
func (d *deployment) end() {
	for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
		p.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(d.dir) //nolint:errcheck // a temporary folder
	}
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has it
	cmd := exec.Command("target/shallotstepd", "run", "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.alive = cmd, true
	p.record.add("started %s", p.name)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.alive = false
		p.mu.Unlock()
		p.record.add("%s has ended: %v", p.name, err)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s) //nolint:errcheck // the process may have ended
	}
	p.record.add("signal %v to %s", s, p.name)
}

func (p *process) kill() { p.signal(syscall.SIGKILL) }

// readyTimeout bounds the wait until an entry is ready.
const readyTimeout = 20 * time.Second

func (p *process) awaitReady() error {
	for end := sinceStart() + readyTimeout; sinceStart() < end; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + address(p.ip, portReady) + "/v1/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close() //nolint:errcheck // the body is not used
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}
