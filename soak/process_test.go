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

	// The go command takes a result for known while no source that it knows of has
	// changed; the daemon that is built here has to be one of them.
	_ "github.com/shallotstep/shallotstep/daemon"
)

// program is the built daemon.
var daemonPath string

func buildDaemon(dir string) error {
	daemonPath = filepath.Join(dir, "shallotstepd")
	out, err := exec.Command("go", "build", "-o", daemonPath, "../cmd/shallotstepd").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// process is one daemon. It is ended by its own process's handle only.
type process struct {
	t        *testing.T
	name     string
	settings string
	log      *os.File

	mu sync.Mutex
	// All fields below are guarded by mu.

	cmd *exec.Cmd
	// ending is set once this soak has told the present life to end.
	exitRequested bool
	exited        chan struct{}
	frozen        bool
	// faults tells of lives that ended by themselves.
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

// start begins a life unless there is one.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return
	}
	cmd := exec.Command(daemonPath, "run", "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// Nothing is left behind by a test that is ended from outside.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Error(err)
		return
	}
	p.cmd, p.exitRequested, p.frozen, p.exited = cmd, false, false, make(chan struct{})
	go p.reap(cmd, p.exited)
}

func (p *process) reap(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.exitRequested {
		p.violations = append(p.violations, fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	p.cmd = nil
	close(exited)
}

// signal sends a signal to the present life, if there is one.
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

// wait waits until the present life has ended.
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

// kill ends the present life at once.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(time.Minute)
}

func (p *process) unexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.violations
}
