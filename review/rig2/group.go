package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// storeGroup distributes the partitions of topics over its members.
type storeGroup struct {
	generation int64
	members    map[string]*storeMember
	// owners has the member that holds each partition.
	owners map[groupPart]string
	// shift moves the targets of all partitions.
	shift int
}

type storeMember struct {
	topics   []string
	ttl      time.Duration
	joinedAt time.Duration
	// known is the generation that the member named in its last join.
	known int64
}

type groupPart struct {
	topic string
	part  int
}

type joinBody struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

func (s *store) groupLocked(name string) *storeGroup {
	g := s.groups[name]
	if g == nil {
		g = &storeGroup{members: make(map[string]*storeMember), owners: make(map[groupPart]string)}
		s.groups[name] = g
	}
	return g
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var in joinBody
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupLocked(in.Group)
	s.expireLocked(in.Group, g)
	m := g.members[in.Member]
	if m == nil {
		m = &storeMember{}
		g.members[in.Member] = m
		g.generation++
		s.record.add("group %s: %s joins, generation %d", in.Group, in.Member, g.generation)
	}
	m.topics, m.ttl, m.joinedAt, m.known = in.Topics, time.Duration(in.TTL)*time.Millisecond, sinceStart(), in.Generation
	targets := g.targets()
	g.assign(targets)
	parts := [][]any{}
	for _, p := range sortedParts(targets) {
		if g.owners[p] == in.Member && targets[p] == in.Member {
			parts = append(parts, []any{p.topic, p.part, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var in joinBody
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groupLocked(in.Group); g.members[in.Member] != nil {
		s.record.add("group %s: %s leaves", in.Group, in.Member)
		g.remove(in.Member)
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *store) listOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("group")
	g := s.groupLocked(name)
	s.expireLocked(name, g)
	parts := [][]any{}
	for _, p := range sortedParts(g.owners) {
		parts = append(parts, []any{p.topic, p.part, g.owners[p], 0})
	}
	reply(w, http.StatusOK, map[string]any{"parts": parts})
}

// expireLocked removes the members that have sent nothing for their time to live.
func (s *store) expireLocked(name string, g *storeGroup) {
	for member, m := range g.members {
		if sinceStart()-m.joinedAt > m.ttl {
			s.record.add("group %s: the membership of %s has expired", name, member)
			g.remove(member)
		}
	}
}

func (g *storeGroup) remove(member string) {
	delete(g.members, member)
	g.generation++
	maps.DeleteFunc(g.owners, func(_ groupPart, owner string) bool { return owner == member })
	g.assign(g.targets())
}

// targets returns the member that each partition is to have: they take turns in the order of their
// names.
func (g *storeGroup) targets() map[groupPart]string {
	topics := make(map[string]bool)
	for _, m := range g.members {
		for _, t := range m.topics {
			topics[t] = true
		}
	}
	names := slices.Sorted(maps.Keys(g.members))
	out := make(map[groupPart]string)
	for i, topic := range slices.Sorted(maps.Keys(topics)) {
		for part := range storePartitions {
			out[groupPart{topic, part}] = names[(i*storePartitions+part+g.shift)%len(names)]
		}
	}
	return out
}

// assign gives free partitions to their targets, and those whose holder has joined with the present
// generation.
func (g *storeGroup) assign(targets map[groupPart]string) {
	for p, target := range targets {
		holder := g.members[g.owners[p]]
		if holder == nil || holder.known >= g.generation {
			g.owners[p] = target
		}
	}
}

func sortedParts(m map[groupPart]string) []groupPart {
	return slices.SortedFunc(maps.Keys(m), func(a, b groupPart) int {
		if a.topic != b.topic {
			return slices.Compare([]string{a.topic}, []string{b.topic})
		}
		return a.part - b.part
	})
}

// String returns the partition as topic and number.
func (p groupPart) String() string { return p.topic + "/" + strconv.Itoa(p.part) }
