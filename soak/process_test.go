package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	// The go command reuses a cached test result unless a dependency of the test has changed. The
	// import makes the daemon, which this package builds and runs, a dependency.
	_ "github.com/shallotstep/shallotstep/daemon"
)

// daemonPath is the path of the daemon's binary.
var daemonPath string

func buildDaemon(dir string) error {
	daemonPath = filepath.Join(dir, "shallotstepd")
	out, err := exec.Command("go", "build", "-o", daemonPath, "../cmd/shallotstepd").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// process is a daemon that can be stopped and restarted. Signals are sent by the handle of the
// process only, so that they can't reach another one.
type process struct {
	t        *testing.T
	name     string
	settings string
	log      *os.File

	mu sync.Mutex
	// All fields below are guarded by mu.

	cmd *exec.Cmd
	// exitRequested is set once the test has sent the running process SIGTERM or SIGKILL.
	exitRequested bool
	// exited is closed when the running process has exited.
	exited chan struct{}
	frozen bool
	// violations has a message for each process that exited unexpectedly.
	violations []string
}

func newProcess(t *testing.T, dir, name, settings string) *process {
	t.Helper()
	path := filepath.Join(dir, name+".jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	return &process{t: t, name: name, settings: path, log: log}
}

// start starts the daemon unless it is running.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return
	}
	cmd := exec.Command(daemonPath, "run", "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// The daemon must not outlive a test that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Error(err)
		return
	}
	p.cmd, p.exitRequested, p.frozen, p.exited = cmd, false, false, make(chan struct{})
	go p.reap(cmd, p.exited)
}

// reap waits until the process has exited, and records a violation if that was not requested.
func (p *process) reap(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.exitRequested {
		p.violations = append(p.violations, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
	}
	p.cmd = nil
	close(exited)
}

// pid returns the ID of the running process, or zero if it isn't running.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// signal sends a signal to the process if it is running.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.exitRequested = true
	case syscall.SIGSTOP:
		p.frozen = true
	case syscall.SIGCONT:
		p.frozen = false
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		p.t.Logf("signal %v to %s: %v", sig, p.name, err)
	}
}

// wait waits until the process has exited, and reports whether it has within limit.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill kills the process and waits until it has exited. A frozen process is continued first.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(time.Minute)
}

// unexpectedExits returns a message for each time the daemon exited without being asked to.
func (p *process) unexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.violations
}
