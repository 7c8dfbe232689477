package session

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/standin/logserver"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// awaitAgents waits until an entry knows n agents with backend servers and has
// them in its roster.
func (s *system) awaitAgents(e *process, n int) {
	s.t.Helper()
	e.await(fmt.Sprintf("knowing %d agents", n), func() bool {
		doc := s.clientOf(e).status()
		serving := 0
		for _, a := range doc.Agents {
			if a.Slots > 0 && !a.Draining {
				serving++
			}
		}
		return len(doc.Roster) == n && serving == n
	})
}

// awaitIdleView waits until an entry knows n agents and takes all their slots to
// be free: news of what has ended lags behind the answers. It also waits until
// all of them, and all entries, have said how far they read the declarations.
func (s *system) awaitIdleView(e *process, n int) {
	s.t.Helper()
	s.awaitAgents(e, n)
	e.await("seeing free slots", func() bool {
		for _, a := range s.clientOf(e).status().Agents {
			if a.Free < a.Slots || a.Queued > 0 {
				return false
			}
		}
		return true
	})
	e.await("hearing of every reader", func() bool {
		readers := s.clientOf(e).status().Readers
		heard := 0
		for _, r := range readers {
			if r.Heard && r.Complete {
				heard++
			}
		}
		return heard == len(readers) && heard >= n+len(s.entries)
	})
}

// awaitVersion waits until the operator's version is in force at every entry and
// the entry has read its record in the log. A declaration may come from a peer
// first, and then stands in no history yet.
func (s *system) awaitVersion(v state.Version) {
	s.t.Helper()
	for _, e := range s.entries {
		if !e.running() {
			continue
		}
		e.await(fmt.Sprintf("having version %d", v), func() bool {
			doc := s.clientOf(e).status()
			return inForce(doc, v) && hasRead(doc, v)
		})
	}
}

func inForce(doc api.Status, v state.Version) bool {
	for _, d := range doc.Declarations {
		if d.Operator == operator && d.Version == v {
			return true
		}
	}
	return false
}

func hasRead(doc api.Status, v state.Version) bool {
	for _, stream := range doc.Log.Streams {
		if stream.Stream == "declarations" {
			return stream.Next > int64(v)
		}
	}
	return false
}

// roster returns the roster as the log has it.
func (s *system) roster() *roster.Roster {
	s.t.Helper()
	r := roster.New()
	for _, rec := range s.records("roster") {
		next, _, err := r.Apply(rec.Offset, rec.Data)
		if err != nil {
			s.t.Fatalf("roster record %d: %v", rec.Offset, err)
		}
		r = next
	}
	return r
}

// records returns a stream of the log. The stand-in is asked in this process,
// because faults would hit a request over the network.
func (s *system) records(stream string) []logserver.Record {
	s.t.Helper()
	faults := s.log.Faults()
	if faults.Outage || faults.Cut {
		s.t.Fatal("the log is out of service; the test reads it nonetheless")
	}
	w := httptest.NewRecorder()
	s.log.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/streams/"+stream+"/records?limit=1000", nil))
	var reply logserver.ReadReply
	if err := json.Unmarshal(w.Body.Bytes(), &reply); err != nil {
		s.t.Fatalf("read of %s: %v: %s", stream, err, w.Body)
	}
	return reply.Records
}

// jobAt returns a job id whose home is an agent. Ids begin with a prefix.
func (s *system) jobAt(prefix string, home *process) string {
	s.t.Helper()
	return s.jobWhere(prefix, func(p roster.Pair) bool { return p.Home == state.NodeID(home.node) })
}

// jobOfPair returns a job id with a home and a witness.
func (s *system) jobOfPair(prefix string, home, witness *process) string {
	s.t.Helper()
	return s.jobWhere(prefix, func(p roster.Pair) bool {
		return p.Home == state.NodeID(home.node) && p.Witness == state.NodeID(witness.node)
	})
}

// idTries is how many ids are looked at for one with a wanted pair.
const idTries = 10000

func (s *system) jobWhere(prefix string, ok func(roster.Pair) bool) string {
	s.t.Helper()
	r := s.roster()
	for i := range idTries {
		id := fmt.Sprintf("%s-%d", prefix, i)
		if ok(r.Pair(region, roster.ShareOf(state.JobKey{Service: service, ID: id}))) {
			return id
		}
	}
	s.t.Fatal("no share has the wanted pair")
	return ""
}

// backendOf returns the backend server beside an agent.
func (s *system) backendOf(p *process) *backendserver.Server {
	s.t.Helper()
	for i, a := range s.agents {
		if a == p {
			return s.backends[i]
		}
	}
	s.t.Fatalf("no backend server beside %s", p.name)
	return nil
}

// evicted reports whether the log's roster has dropped an agent.
func (s *system) evicted(a *process) bool {
	_, ok := s.roster().Member(state.NodeID(a.node))
	return !ok
}
