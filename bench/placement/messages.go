package main

import (
	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

func (s *sim) send(from int, a coordination.Send) {
	if m, ok := a.Msg.(message.Answer); ok {
		s.after(oneWay, func() { s.answered(&m) })
		return
	}
	to := s.byID[a.To]
	delay := oneWay
	if to == from {
		delay = 0
	}
	s.res.messages++
	if m, ok := a.Msg.(message.Assign); ok {
		s.noteAssign(from, to, &m)
	}
	s.after(delay, func() { s.deliver(from, to, a.Msg) })
}

func (s *sim) noteAssign(from, to int, m *message.Assign) {
	rec := &sentAssign{ask: len(m.Indexes) == 0}
	s.res.assigns = append(s.res.assigns, rec)
	if rec.ask {
		s.asked[link{from, to}] = rec
		s.res.asks++
	}
	for _, index := range m.Indexes {
		s.placed[placed{to, state.TaskKey{Job: m.Key, Index: index}}] = rec
	}
}

func (s *sim) deliver(from, to int, m message.Message) {
	nd := s.nodes[to]
	sender := s.nodes[from].id
	r, isReport := m.(message.Report)
	if !isReport {
		if _, drop := m.(message.Drop); drop {
			s.res.waste[dropped]++
		}
		s.act(to, nd.admit.Handle(s.time(), sender, m))
		return
	}
	out := nd.home.Handle(s.time(), sender, m)
	s.res.refused += len(r.Refused)
	taken := r.Credit > 0 && placesAt(out, sender)
	if ask := s.asked[link{to, from}]; ask != nil && taken {
		ask.useful = true
	}
	if len(r.Results) == 0 && !taken {
		s.res.waste[reportCause(&r)]++
		if r.Credit > 0 {
			s.res.unused++
		}
	}
	s.act(to, out)
}

func placesAt(actions []coordination.Action, id state.NodeID) bool {
	for _, a := range actions {
		if send, ok := a.(coordination.Send); ok && send.To == id {
			if m, ok := send.Msg.(message.Assign); ok && len(m.Tasks) > 0 {
				return true
			}
		}
	}
	return false
}
