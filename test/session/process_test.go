package session

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// hang turns a wait that never ends into a failure. Nothing is measured by it.
const hang = 60 * time.Second

// output collects what a process writes.
type output struct {
	mu sync.Mutex
	// buf is guarded by mu.
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// process is one daemon that the test started.
type process struct {
	t    testing.TB
	name string
	// node is the incarnation's id; empty for a stand-in.
	node   string
	http   string
	peer   string
	cmd    *exec.Cmd
	stdout output
	stderr output
	ended  chan struct{}
}

// startProcess runs the daemon on a settings file. It is killed at the end of
// the test if it still runs.
func startProcess(t testing.TB, name, settings string) *process {
	t.Helper()
	p := &process{t: t, name: name, ended: make(chan struct{})}
	p.cmd = exec.Command(daemonPath, "-settings", settings)
	p.cmd.Stdout = &p.stdout
	p.cmd.Stderr = &p.stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	go func() {
		// The exit code is read from ProcessState.
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(p.cleanUp)
	return p
}

func (p *process) cleanUp() {
	_ = p.cmd.Process.Kill()
	<-p.ended
	text := p.stderr.String()
	for _, fault := range []string{"WARNING: DATA RACE", "panic:", "fatal error:"} {
		if strings.Contains(text, fault) {
			p.t.Errorf("%s wrote %q:\n%s", p.name, fault, text)
			return
		}
	}
	if p.t.Failed() {
		p.t.Logf("%s wrote:\n%s", p.name, tail(text))
	}
}

// tailBytes bounds what a failed test shows of one process.
const tailBytes = 6000

func tail(s string) string {
	if len(s) > tailBytes {
		return "..." + s[len(s)-tailBytes:]
	}
	return s
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// awaitLog waits until the process has written a match and returns its groups.
func (p *process) awaitLog(pattern *regexp.Regexp) []string {
	p.t.Helper()
	var groups []string
	p.await("writing "+pattern.String(), func() bool {
		groups = pattern.FindStringSubmatch(p.stderr.String())
		return groups != nil
	})
	return groups
}

// await waits for a condition while the process runs.
func (p *process) await(what string, ok func() bool) {
	p.t.Helper()
	awaitOr(p.t, p.name+" "+what, ok, func() string {
		if p.running() {
			return ""
		}
		return fmt.Sprintf("it ended with code %d:\n%s", p.cmd.ProcessState.ExitCode(), p.stderr.String())
	})
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: signal %v: %v", p.name, s, err)
	}
}

// kill ends the process as a host that dies.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	p.exit()
}

// exit waits for the end of the process and returns its exit code.
func (p *process) exit() int {
	p.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(hang):
		p.t.Fatalf("%s doesn't end:\n%s", p.name, tail(p.stderr.String()))
	}
	return p.cmd.ProcessState.ExitCode()
}

// stop ends the process as planned and returns its exit code.
func (p *process) stop() int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	return p.exit()
}

// awaitOr waits for a condition; never tells why it can't come true any more.
func awaitOr(t testing.TB, what string, ok func() bool, never func() string) {
	t.Helper()
	end := time.Now().Add(hang)
	for !ok() {
		if why := never(); why != "" {
			t.Fatalf("%s: %s", what, why)
		}
		if time.Now().After(end) {
			t.Fatalf("no end to waiting: %s", what)
		}
		time.Sleep(lookEvery)
	}
}

// lookEvery is between two looks at a condition.
const lookEvery = 5 * time.Millisecond

func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	awaitOr(t, what, ok, func() string { return "" })
}
