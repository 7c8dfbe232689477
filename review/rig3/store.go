package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings in DEPLOY state them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	partsCount  = 8
	appendTime  = 4 * time.Millisecond
	pageRecords = 500
	pageBytes   = 1 << 20
)

// store is a stand-in for the platform's store. It keeps all records in memory.
type store struct {
	addr string
	srv  *http.Server

	mu      sync.Mutex
	parts   map[string]*partition
	groups  map[string]*group
	changed chan struct{}
	// refused counts the appends that were refused for their size, and largest is the size of the largest.
	refused, largest int
	// delay is added to each answer.
	delay time.Duration
	// down makes the store answer 503.
	down bool
}

type partition struct {
	keyed     bool
	first     int64
	records   [][]byte
	newest    map[string]entry
	producers map[string]*producer
	appending sync.Mutex
}

type entry struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, seq int64
	answers    map[int64][]byte
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), parts: map[string]*partition{}, groups: map[string]*group{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.handleAppend)
	mux.HandleFunc("GET /v1/log-read", s.handleRead)
	mux.HandleFunc("GET /v1/log-newest", s.handleNewest)
	mux.HandleFunc("POST /v1/log-trim", func(w http.ResponseWriter, _ *http.Request) { answer(w, 200, map[string]any{}) })
	mux.HandleFunc("POST /v1/log-join", s.handleJoin)
	mux.HandleFunc("POST /v1/log-leave", s.handleLeave)
	mux.HandleFunc("GET /v1/log-owners", s.handleOwners)
	s.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		delay, down := s.delay, s.down
		s.mu.Unlock()
		if down {
			answer(w, 503, map[string]any{})
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		mux.ServeHTTP(w, r)
	})}
	go s.srv.Serve(l) //nolint:errcheck // it returns when the server is closed
	return s, nil
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the caller may be gone
}

func (s *store) partLocked(topic, part string) *partition {
	name := topic + "/" + part
	p := s.parts[name]
	if p == nil {
		p = &partition{keyed: strings.HasPrefix(topic, "keyed."), newest: map[string]entry{}, producers: map[string]*producer{}}
		s.parts[name] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (s *store) appendLocked(p *partition, content []byte) {
	if p.keyed {
		k := int(content[0])
		key, value := string(content[1:1+k]), content[1+k:]
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = entry{value: value, offset: p.end()}
		}
	}
	p.records = append(p.records, content)
	if len(p.records) > 20000 {
		p.first += 10000
		p.records = slices.Clone(p.records[10000:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record as the operator does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(s.partLocked(topic, "0"), append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) set(f func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partLocked(q.Get("topic"), q.Get("part"))
	s.mu.Unlock()
	s.set(func(s *store) { s.largest = max(s.largest, len(body)) })
	records, ok := split(body)
	if !ok || len(body) > callBytes {
		s.set(func(s *store) { s.refused++ })
		answer(w, 400, map[string]any{"error": "the call is larger than a call or a record may be"})
		return
	}
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	name := q.Get("producer")
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseInt(q.Get("seq_no"), 10, 64)
	if name != "" {
		if status, out := p.check(name, epoch, seq, len(records) == 0); status != 0 {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			w.Write(out) //nolint:errcheck // the caller may be gone
			return
		}
	}
	first := p.end()
	for _, c := range records {
		s.appendLocked(p, c)
	}
	out, _ := json.Marshal(map[string]int64{"offset": first, "end_offset": p.end()})
	if name != "" {
		known := p.producers[name]
		known.answers[seq] = out
		delete(known.answers, seq-5)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(out) //nolint:errcheck // the caller may be gone
}

// split returns the records of a call, or false if one is too large.
func split(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || n > len(body)-4 {
			return nil, false
		}
		out = append(out, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	return out, true
}

// check checks an append of a producer. A status other than zero is the answer.
func (p *partition) check(name string, epoch, seq int64, empty bool) (int, []byte) {
	offsets, _ := json.Marshal(map[string]int64{"offset": p.end(), "end_offset": p.end()})
	known := p.producers[name]
	switch {
	case known != nil && epoch < known.epoch:
		return 409, []byte(`{"reason":"fenced"}`)
	case known == nil || epoch > known.epoch:
		p.producers[name] = &producer{epoch: epoch, seq: seq, answers: map[int64][]byte{}}
		if empty {
			return 200, offsets
		}
		return 0, nil
	case empty:
		return 200, offsets
	case known.answers[seq] != nil:
		return 200, known.answers[seq]
	case seq != known.seq+1:
		out, _ := json.Marshal(map[string]any{"reason": "seq", "seq_no": known.seq + 1})
		return 409, out
	}
	known.seq = seq
	return 0, nil
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		p := s.partLocked(q.Get("topic"), q.Get("part"))
		changed := s.changed
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			answer(w, 410, map[string]int64{"first_offset": first})
			return
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
		out = binary.BigEndian.AppendUint64(out, uint64(p.first))
		for i := from; i < p.end() && len(out) < pageBytes; i++ {
			c := p.records[i-p.first]
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(c))), c...)
		}
		found := from < p.end()
		s.mu.Unlock()
		if found || over {
			w.Write(out) //nolint:errcheck // the caller may be gone
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partLocked(q.Get("topic"), q.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > q.Get("depends_on") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		e := p.newest[key]
		if size += len(e.value); len(items) == pageRecords || len(items) > 0 && size > pageBytes {
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(e.value), "offset": e.offset})
	}
	answer(w, 200, map[string]any{"items": items, "has_more": len(items) < len(keys), "end_offset": p.end()})
}

// group distributes the partitions of topics among its members.
type group struct {
	generation int64
	members    map[string]*groupMember
	owners     map[string]string
	// intended has the member that each partition is for.
	intended map[string]string
}

type groupMember struct {
	expires time.Time
	topics  []string
	// knows is the generation that the member has stated.
	knows int64
}

type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

func (s *store) groupLocked(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*groupMember{}, owners: map[string]string{}, intended: map[string]string{}}
		s.groups[name] = g
	}
	for member, m := range g.members {
		if time.Now().After(m.expires) {
			g.remove(member)
		}
	}
	return g
}

func (g *group) remove(member string) {
	if g.members[member] == nil {
		return
	}
	delete(g.members, member)
	g.generation++
	for p, o := range g.owners {
		if o == member {
			delete(g.owners, p)
		}
	}
}

// plan says which member each partition is for. Partitions of members that are gone, or that have more than
// their share, go to the members with the fewest; all others stay.
func (g *group) plan() {
	var names, parts []string
	topics := map[string]bool{}
	for name, m := range g.members {
		names = append(names, name)
		for _, t := range m.topics {
			topics[t] = true
		}
	}
	for t := range topics {
		for i := range partsCount {
			parts = append(parts, t+"/"+strconv.Itoa(i))
		}
	}
	slices.Sort(names)
	slices.Sort(parts)
	share, more := len(parts)/len(names), len(parts)%len(names)
	count := map[string]int{}
	for _, p := range parts {
		m := g.intended[p]
		if g.members[m] == nil || count[m] > share || count[m] == share && more == 0 {
			delete(g.intended, p)
			continue
		}
		if count[m]++; count[m] > share {
			more--
		}
	}
	for _, p := range parts {
		if g.intended[p] != "" {
			continue
		}
		fewest := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
		g.intended[p] = fewest
		count[fewest]++
	}
}

func (s *store) handleJoin(w http.ResponseWriter, r *http.Request) {
	var in joinRequest
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupLocked(in.Group)
	m := g.members[in.Member]
	if m == nil {
		m = &groupMember{}
		g.members[in.Member] = m
		g.generation++
	}
	m.expires = time.Now().Add(time.Duration(in.TTL) * time.Millisecond)
	m.topics, m.knows = in.Topics, in.Generation
	g.plan()
	for p, want := range g.intended {
		if o := g.owners[p]; o == "" || o != want && g.members[o].knows >= g.generation {
			g.owners[p] = want
		}
	}
	parts := [][]any{}
	for p, o := range g.owners {
		if o == in.Member && g.intended[p] == in.Member {
			topic, n, _ := strings.Cut(p, "/")
			number, _ := strconv.Atoi(n)
			parts = append(parts, []any{topic, number, 0})
		}
	}
	answer(w, 200, map[string]any{"generation": g.generation, "parts": parts})
}

func (s *store) handleLeave(w http.ResponseWriter, r *http.Request) {
	var in joinRequest
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groupLocked(in.Group).remove(in.Member)
	answer(w, 200, map[string]any{})
}

func (s *store) handleOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := [][]any{}
	for p, o := range s.groupLocked(r.URL.Query().Get("group")).owners {
		topic, n, _ := strings.Cut(p, "/")
		number, _ := strconv.Atoi(n)
		parts = append(parts, []any{topic, number, o, 0})
	}
	answer(w, 200, map[string]any{"parts": parts})
}

// sizes returns how many appends were refused for their size, and the size of the largest.
func (s *store) sizes() (refused, largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused, s.largest
}
