package backendserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// maxWait bounds how long a GET waits for the end of a task.
const maxWait = 10 * time.Second

func (s *Server) handler() http.Handler {
	router := httprouter.New()
	router.POST(wire.TasksPath, s.gate(s.start))
	router.GET(wire.TasksPath+"/:id", s.gate(s.show))
	router.POST(wire.TasksPath+"/:id/:verb", s.gate(s.verb))
	router.POST(wire.LeasesPath, s.gate(s.leases))
	router.GET(wire.UsagePath, s.gate(s.usageSince))
	s.measured(router)
	return router
}

// gate holds requests while the server is frozen and asks for the token.
func (s *Server) gate(h httprouter.Handle) httprouter.Handle {
	open := s.authorized(h)
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		if s.thaw(r.Context()) {
			open(w, r, params)
		}
	}
}

func (s *Server) authorized(h httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		if s.opts.Token != "" && r.Header.Get("Authorization") != "Bearer "+s.opts.Token {
			writeProblem(w, http.StatusUnauthorized, wire.Problem{Detail: "a bearer token is needed"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, state.MaxBodyBytes)
		h(w, r, params)
	}
}

func (s *Server) start(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req wire.StartRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.TaskID == "" {
		writeProblem(w, http.StatusBadRequest, wire.Problem{Detail: "the task is not understood"})
		return
	}
	faults := s.currentFaults()
	if s.draw(faults.DropRequests) {
		drop(w)
		return
	}
	t, cause := s.begin(req, time.Now())
	if t == nil {
		writeProblem(w, http.StatusServiceUnavailable, wire.Problem{Reason: wire.ReasonNotStarted, Cause: cause})
		return
	}
	select {
	case <-t.done:
	case <-r.Context().Done():
		return
	}
	if !s.thaw(r.Context()) || s.draw(faults.DropReplies) {
		drop(w)
		return
	}
	if p := t.outcome.Problem; p != nil {
		writeProblem(w, http.StatusInternalServerError, *p)
		return
	}
	writeJSON(w, t.outcome.Result)
}

func (s *Server) show(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	id := params.ByName("id")
	st, done := s.stateOf(id)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if done != nil && wait > 0 {
		timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		case <-r.Context().Done():
		}
		st, _ = s.stateOf(id)
	}
	s.answer(w, st)
}

func (s *Server) verb(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	verb := coordination.Verb(params.ByName("verb"))
	switch verb {
	case coordination.VerbStop, coordination.VerbThrottle, coordination.VerbCheckpoint,
		coordination.VerbRelease, wire.VerbBar:
		s.answer(w, s.control(params.ByName("id"), verb, time.Now()))
	default:
		writeProblem(w, http.StatusNotFound, wire.Problem{Detail: "there is no such verb"})
	}
}

func (s *Server) leases(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req wire.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.LeaseMS <= 0 {
		writeProblem(w, http.StatusBadRequest, wire.Problem{Detail: "the renewal is not understood"})
		return
	}
	s.answer(w, s.renew(req, time.Now()))
}

func (s *Server) usageSince(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	now := time.Now()
	s.mu.Lock()
	reply := s.usage.since(since, now.Add(-s.faults.UsageLag))
	s.mu.Unlock()
	s.answer(w, reply)
}

// answer answers a call that starts nothing, or breaks its connection.
func (s *Server) answer(w http.ResponseWriter, v any) {
	if s.draw(s.currentFaults().DropAsks) {
		drop(w)
		return
	}
	writeJSON(w, v)
}

// drop breaks the connection without an answer.
func drop(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v)
}

func writeProblem(w http.ResponseWriter, status int, p wire.Problem) {
	p.Title, p.Status = http.StatusText(status), status
	w.Header().Set("Content-Type", wire.ProblemType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}
