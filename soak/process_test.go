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
	endRequested bool
	ended        chan struct{}
	frozen       bool
	// faults tells of lives that ended by themselves.
	unexpectedEnds []string
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
	p.cmd, p.endRequested, p.frozen, p.ended = cmd, false, false, make(chan struct{})
	go p.reap(cmd, p.ended)
}

func (p *process) reap(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.endRequested {
		p.unexpectedEnds = append(p.unexpectedEnds, fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	p.cmd = nil
	close(ended)
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
		p.endRequested = true
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
	ended, running := p.ended, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-ended:
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

func (p *process) unexpectedEndings() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedEnds
}
