package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one of the project's programs, run with the command of the deploy file.
type process struct {
	name, settings string
	dir            string
	log            *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	asked  bool
}

func newProcess(dir, name, settings string, log *record) (*process, error) {
	path := filepath.Join(dir, name+".jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	return &process{name: name, settings: path, dir: dir, log: log}, nil
}

func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/shallotstepd", "run", "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "LANG=C"}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited, p.asked = cmd, make(chan struct{}), false
	exited := p.exited
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		asked := p.asked
		p.cmd = nil
		p.mu.Unlock()
		if asked {
			p.log.add("%s has ended", p.name)
		} else {
			p.log.say("%s has ended by itself: %v", p.name, err)
		}
		out.Close() //nolint:errcheck // the log is only for reading
		close(exited)
	}()
	p.log.add("%s is started", p.name)
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	cmd := p.cmd
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		p.asked = true
	}
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	p.log.say("%v to %s", sig, p.name)
	cmd.Process.Signal(sig) //nolint:errcheck // it may have ended
}

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

func (p *process) kill() {
	p.mu.Lock()
	cmd := p.cmd
	p.asked = true
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGCONT) //nolint:errcheck // it may have ended
	cmd.Process.Kill()                  //nolint:errcheck // it may have ended
	p.wait(10 * time.Second)
}
