package backendclient

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// cannedServer answers each request on a connection with the same bytes and
// allocates nothing for it, so that a benchmark counts the client alone.
func cannedServer(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 28\r\n\r\n{\"payload\":42,\"ran_ms\":20.5}")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveCanned(conn, answer)
		}
	}()
	return "http://" + listener.Addr().String()
}

// serveCanned takes what ends in a closing bracket for a whole request.
func serveCanned(conn io.ReadWriteCloser, answer []byte) {
	defer conn.Close()
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		if !bytes.HasSuffix(buf[:n], []byte("}")) {
			continue
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// BenchmarkRun gives what one start costs the agent at its backend server: one
// call on a connection that is open already.
func BenchmarkRun(b *testing.B) {
	c := New(Options{})
	defer c.Close()
	backend := state.Backend{ID: "b1", URL: cannedServer(b), Connections: 8}
	task := state.TaskKey{Job: state.JobKey{Service: "bench-desk", ID: "01jb7q5k6z8m4n2p0r3s5t7v9w"}}
	spec := state.Task{Payload: []byte(`{"photo":"intake/2026/12/00000001.jpg","desk":4}`), Cores: 0.5, MemoryMB: 512}
	b.ReportAllocs()
	for b.Loop() {
		if r := c.Run(b.Context(), backend, task, spec, 20*time.Second); r.Verdict != Ran || r.Reason != "" {
			b.Fatalf("%+v", r)
		}
	}
}
