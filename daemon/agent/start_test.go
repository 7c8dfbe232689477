package agent

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/node"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A start is under way from the machine to the backend server when another one
// announces itself at the same address. The machine has given up what the one
// before ran, so nobody counts the task: it must not be sent to the new one. A
// start that is meant for the new one is.
func TestStartForAReplacedBackendIsNotSent(t *testing.T) {
	is := is.New(t)
	var got atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		got.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer server.Close()
	peers := listen(t)
	a, err := New(Options{
		Node:  node.AgentOptions{Self: state.Member{ID: "a@1", Addr: peers.Addr().String()}},
		Peers: peers, HTTP: listen(t), Metrics: metrics.New(),
	})
	is.NoErr(err)
	defer a.closeAll()
	a.backend = state.Backend{ID: "new", URL: server.URL}
	task := state.TaskKey{Job: state.JobKey{Service: "s", ID: "j"}}
	a.start(coordination.StartTask{Task: task, Backend: "old"})
	a.tasks.Wait()
	is.Equal(got.Load(), int64(0))
	a.start(coordination.StartTask{Task: task, Backend: "new"})
	a.tasks.Wait()
	is.Equal(got.Load(), int64(1))
}

// closeAll ends what New began.
func (a *Agent) closeAll() {
	a.cancel()
	a.runner.Close(a.taskCtx)
	a.client.Close()
}
