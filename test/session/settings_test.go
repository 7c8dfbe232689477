package session

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

// settings are a settings file.
type settings map[string]any

func (s *system) write(name string, c settings) string {
	s.t.Helper()
	raw, err := json.Marshal(c)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// Ports for peers lie below those that the kernel hands out for port 0, so that
// nobody takes one between its reservation and its use. Settings refuse port 0
// there, because others must know the port.
const (
	firstPort = 20000
	portCount = 10000
)

var reserved struct {
	sync.Mutex
	// ports is guarded by the lock.
	ports map[int]bool
}

func reservePort(t testing.TB) string {
	t.Helper()
	reserved.Lock()
	defer reserved.Unlock()
	if reserved.ports == nil {
		reserved.ports = make(map[int]bool)
	}
	for range portCount {
		port := firstPort + rand.IntN(portCount)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if reserved.ports[port] {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		reserved.ports[port] = true
		return addr
	}
	t.Fatal("no free port")
	return ""
}
