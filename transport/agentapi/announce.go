package agentapi

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// renewals is how many times within its time to live an announcement is
// renewed, so that it outlives two lost renewals in a row.
const renewals = 3

// announce takes an announcement.
//
// A backend server that leaves may have a renewal under way, and the renewal
// may come after the DELETE. Taken as a new announcement it would bring work
// to a server that is shutting down. So an ID that has left is refused for
// good, which costs nothing: a restarted backend server has another ID. The
// lock keeps the check and the agent's step together.
func (a *API) announce(r *http.Request, id string) reply {
	if err := checkID(id); err != nil {
		return refuse(state.ReasonMalformed, "%v", err)
	}
	var doc wire.Announcement
	if answer, ok := decode(r, &doc); !ok {
		return answer
	}
	b, err := backendFrom(id, doc)
	if err != nil {
		return refuse(state.ReasonMalformed, "%v", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.withdrawn.has(id) {
		return refuse(state.ReasonIDConflict, "this backend server has left; announce a restarted one under another ID")
	}
	if err := a.agent.Announce(b); err != nil {
		return refusalOf(err)
	}
	st := a.stateLocked(id)
	st.RenewAfterMS = int64(b.TTL / renewals / time.Millisecond)
	return reply{status: http.StatusOK, body: st}
}

func refusalOf(err error) reply {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refuse(refusal.Reason, "%s", refusal.Detail)
	}
	return refuse(state.ReasonNotReady, "%v", err)
}

// withdraw takes a planned leave. Repeating it is safe.
func (a *API) withdraw(_ *http.Request, id string) reply {
	if err := checkID(id); err != nil {
		return refuse(state.ReasonMalformed, "%v", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdrawn.add(id)
	running := a.agent.Withdraw(id)
	klog.InfoS("Backend server leaves", "backend", id, "running", running)
	return reply{status: http.StatusAccepted, body: a.stateLocked(id)}
}

// show says how a backend server stands, so that one that leaves can wait for
// its last task. One that the agent does not know runs nothing for it.
func (a *API) show(_ *http.Request, id string) reply {
	a.mu.Lock()
	defer a.mu.Unlock()
	return reply{status: http.StatusOK, body: a.stateLocked(id)}
}

func (a *API) stateLocked(id string) wire.BackendState {
	st := wire.BackendState{ID: id, State: wire.BackendGone, Draining: a.agent.Draining()}
	b, running, ok := a.agent.Backend()
	switch {
	case !ok || b.ID != id:
		return st
	case !a.withdrawn.has(id):
		st.State = wire.BackendActive
	case running > 0:
		st.State = wire.BackendLeaving
	}
	st.Running = running
	return st
}

func (a *API) drain(*http.Request, string) reply {
	a.agent.Drain()
	_, running, _ := a.agent.Backend()
	klog.InfoS("Drain asked for", "running", running)
	return reply{status: http.StatusAccepted, body: drainReply{Draining: true, Running: running}}
}

type drainReply struct {
	Draining bool `json:"draining"`
	Running  int  `json:"running"`
}

func (a *API) ready(*http.Request, string) reply {
	switch {
	case a.agent.Draining():
		return refuse(state.ReasonDraining, "the agent is stopping")
	case !a.agent.Ready():
		return refuse(state.ReasonNotReady, "the agent may not get work yet")
	}
	return reply{status: http.StatusOK, body: readyReply{Ready: true}}
}

type readyReply struct {
	Ready bool `json:"ready"`
}

// recentCapacity is how many IDs recentIDs keeps. A backend server would have
// to restart that often while one renewal is under way to get past it.
const recentCapacity = 64

// recentIDs remembers the IDs added last.
type recentIDs struct {
	ids []string
}

func (s *recentIDs) has(id string) bool {
	for _, known := range s.ids {
		if known == id {
			return true
		}
	}
	return false
}

func (s *recentIDs) add(id string) {
	if s.has(id) {
		return
	}
	if len(s.ids) == recentCapacity {
		s.ids = append(s.ids[:0], s.ids[1:]...)
	}
	s.ids = append(s.ids, id)
}
