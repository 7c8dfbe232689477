package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpapi"
)

// declarer carries declarations for httpapi.
type declarer Entry

// Apply has raw replace the operator's declaration if base is in force.
func (d *declarer) Apply(ctx context.Context, operator string, base state.Version, raw []byte) coordination.Applied {
	e := (*Entry)(d)
	if e.draining.Load() {
		return coordination.Applied{Outcome: state.NotRun, Reason: state.ReasonDraining}
	}
	ticket, applied := e.tickets.openApply()
	defer e.tickets.drop(ticket)
	e.runner.Execute(e.machine.Apply(time.Now(), ticket, operator, base, raw))
	select {
	case a := <-applied:
		return a
	case <-ctx.Done():
		return coordination.Applied{Outcome: state.Unknown, Reason: state.ReasonApplyUnknown, Detail: "the operator went away"}
	}
}

// Get returns the operator's declaration in force.
func (d *declarer) Get(operator string) (httpapi.Declaration, bool) {
	a, ok := d.machine.Declarations().Operator(operator)
	if !ok {
		return httpapi.Declaration{}, false
	}
	return httpapi.Declaration{Version: a.Version, Raw: []byte(a.Raw)}, true
}

// History returns the operator's latest applies that this entry has read,
// accepted or not.
func (d *declarer) History(operator string) []httpapi.HistoryEntry {
	set := d.machine.Declarations()
	current, _ := set.Operator(operator)
	var out []httpapi.HistoryEntry
	for _, h := range set.History(operator) {
		entry := httpapi.HistoryEntry{
			Version:  state.Version(h.Offset),
			Base:     h.Base,
			ApplyID:  h.ApplyID,
			Accepted: h.Accepted,
			Reason:   h.Reason,
			Detail:   h.Detail,
		}
		if h.Accepted && entry.Version == current.Version {
			sum := sha256.Sum256([]byte(current.Raw))
			entry.Digest = hex.EncodeToString(sum[:])
		}
		out = append(out, entry)
	}
	return out
}

// Operators returns every operator's version in force.
func (d *declarer) Operators() []httpapi.OperatorVersion {
	set := d.machine.Declarations()
	var out []httpapi.OperatorVersion
	for _, name := range set.Operators() {
		a, ok := set.Operator(name)
		if !ok {
			continue
		}
		v := httpapi.OperatorVersion{Operator: name, Version: a.Version}
		for i := range a.File.Services {
			v.Services = append(v.Services, a.File.Services[i].Name)
		}
		out = append(out, v)
	}
	return out
}

// Service returns the operator that has declared a service.
func (d *declarer) Service(name string) (string, bool) {
	_, operator, ok := d.machine.Declarations().Service(name)
	return operator, ok
}

// status tells httpapi what the entry knows.
type status Entry

// roleName is how the status names this role.
const roleName = "entry"

// Status returns the entry's view of the system.
func (s *status) Status() httpapi.StatusDocument {
	e := (*Entry)(s)
	now := time.Now()
	r := e.machine.Roster()
	doc := httpapi.StatusDocument{
		Node:         e.opts.Node.Self.ID,
		Role:         roleName,
		Software:     e.opts.Software,
		Ready:        e.Ready(),
		Draining:     e.draining.Load(),
		Epoch:        r.Epoch(),
		Log:          e.runner.LogStatus(now),
		Declarations: (*declarer)(e).Operators(),
		Readers:      e.readers(now),
	}
	for _, m := range r.Members() {
		doc.Roster = append(doc.Roster, api.MemberOf(m))
	}
	for _, l := range e.machine.Gossip().All(now) {
		doc.Agents = append(doc.Agents, api.AgentOf(l.Load, l.Age))
	}
	return doc
}
