package backendserver

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/shallotstep/shallotstep/protocol/standin"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// maxFaultsBytes bounds the body that sets faults.
const maxFaultsBytes = 4 << 10

// measured is open also while the server is frozen: who froze it must be able
// to thaw it and to read what it had started.
func (s *Server) measured(router *httprouter.Router) {
	router.GET(standin.StartsPath, s.authorized(s.showStarts))
	router.PUT(standin.FaultsPath, s.authorized(s.putFaults))
}

func (s *Server) showStarts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	prefix := r.URL.Query().Get(standin.PrefixParameter)
	doc := standin.Starts{Tasks: []standin.TaskStarts{}}
	for task, n := range s.AllStarts() {
		if strings.HasPrefix(task.Job.ID, prefix) {
			doc.Tasks = append(doc.Tasks, standin.TaskStarts{Service: task.Job.Service, Job: task.Job.ID, Index: task.Index, Starts: n})
		}
	}
	writeJSON(w, doc)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f standin.Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil || f.SlowMS < 0 {
		writeProblem(w, http.StatusBadRequest, wire.Problem{Detail: "the faults are not understood"})
		return
	}
	s.changeFaults(f)
	writeJSON(w, f)
}

// changeFaults leaves the faults alone that the document doesn't know.
func (s *Server) changeFaults(f standin.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.faults
	next.FailAll, next.Refuse, next.Freeze = f.FailAll, f.Refuse, f.Freeze
	next.Slow = time.Duration(f.SlowMS) * time.Millisecond
	s.setFaultsLocked(next)
}
