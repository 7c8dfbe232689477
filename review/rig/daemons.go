package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// daemonPath is the daemon as the deploy file builds it.
const daemonPath = "target/shallotstepd"

// daemon is a process of the system.
type daemon struct {
	name, settings string
	rec            *record
	log            *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd     // guarded by mu; nil while it does not run
	exited  chan struct{} // guarded by mu
	wanted  bool          // guarded by mu; it is to run
	crashes int           // guarded by mu; ends that nobody has caused
}

func (w *world) newDaemon(name, settings string) (*daemon, error) {
	path := filepath.Join(w.dir, name+".jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	d := &daemon{name: name, settings: path, rec: w.rec, log: log}
	w.daemons = append(w.daemons, d)
	return d, nil
}

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		return nil
	}
	cmd := exec.Command(daemonPath, "run", "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.exited, d.wanted = cmd, make(chan struct{}), true
	d.rec.logf("%s started", d.name)
	go func(exited chan struct{}) {
		err := cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.wanted {
			d.crashes++
			d.rec.sayf("%s ended by itself: %v", d.name, err)
		}
		d.cmd = nil
		close(exited)
	}(d.exited)
	return nil
}

// signal sends a signal to the process, by its own handle only.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		d.wanted = false
	}
	d.rec.logf("%s gets %v", d.name, s)
	if err := d.cmd.Process.Signal(s); err != nil {
		d.rec.logf("%s: %v", d.name, err)
	}
}

// end sends a signal that ends the process and waits until it has ended, at most for limit.
func (d *daemon) end(s syscall.Signal, limit time.Duration) bool {
	d.mu.Lock()
	exited, running := d.exited, d.cmd != nil
	d.mu.Unlock()
	if !running {
		return true
	}
	d.signal(s)
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// freePort returns a port that is free at a loopback address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// hostIP returns a loopback address of its own for each machine.
func hostIP(n int) string { return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+n/250, 1+n%250) }
