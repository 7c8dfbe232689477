package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopLimit bounds how long a daemon may take to stop before it is killed.
const stopLimit = 10 * time.Second

const (
	daemonProgram = "shallotstepd"
	clientProgram = "shallotstep"
)

// build puts the two programs into dir.
func build(ctx context.Context, dir string) error {
	for _, name := range []string{daemonProgram, clientProgram} {
		cmd := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(dir, name),
			"github.com/shallotstep/shallotstep/cmd/"+name)
		cmd.Stderr = os.Stderr
		if err := cmd.Run(); err != nil {
			return errors.Wrapf(err, "build %s", name)
		}
	}
	return nil
}

// process is one daemon that this command has started.
type process struct {
	role string
	// http is where it serves /metrics; empty if it doesn't.
	http string
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess runs the daemon on a settings file. The kernel kills it if this
// process dies first, so that no run leaves anything behind.
func startProcess(dir, logs, role, http, settings string) (*process, error) {
	cmd := exec.Command(filepath.Join(dir, daemonProgram), "-settings", settings)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if logs != "" {
		out, err := os.Create(filepath.Join(logs, filepath.Base(settings)+".log"))
		if err != nil {
			return nil, errors.Wrap(err, "log of a daemon")
		}
		defer out.Close()
		cmd.Stdout, cmd.Stderr = out, out
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", role)
	}
	p := &process{role: role, http: http, cmd: cmd, done: make(chan struct{})}
	go func() {
		// How it ended is told by ended.
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) pid() int { return p.cmd.Process.Pid }

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop asks the process to end, and kills it when it doesn't.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopLimit):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// freePorts returns addresses on loopback that nobody listens on. All are held
// until the last is found, so that no two are the same.
func freePorts(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func nameOf(role string, i int) string { return fmt.Sprintf("%s-%d", role, i) }
