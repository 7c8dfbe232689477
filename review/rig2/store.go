package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is how long the store takes for each call.
	storeLatency = 4 * time.Millisecond
	// storePartitions is the number of partitions of each topic.
	storePartitions = 8
	// maxNewestItems is the largest number of records in a page of newest records.
	maxNewestItems = 500
	// rememberedAppends is the number of appends of a producer whose repeats get the first response.
	rememberedAppends = 5
)

// store is a stand-in for the platform's store. Each caller has an address of its own, so that the
// store can turn single machines away.
type store struct {
	record *record

	mu sync.Mutex
	// All fields below are guarded by mu.

	logs    map[string]*storeLog
	groups  map[string]*storeGroup
	modes   map[string]callerMode
	latency time.Duration
	changed chan struct{}
}

// storeMode is how the store treats the calls of a caller.
type storeMode int

const (
	storeServes storeMode = iota
	// storeBusy answers with status 503.
	storeBusy
	// storeSilent neither carries calls out nor answers them.
	storeSilent
	// storeLost carries writing calls out and doesn't answer them.
	storeLost
	// storeLate carries writing calls out 1 to 6 s later and doesn't answer them.
	storeLate
)

// callerMode is the mode for a share of the calls of a caller.
type callerMode struct {
	mode  storeMode
	share float64
}

// discard is a response writer that discards the response.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// disturb treats a call in the caller's mode and reports whether that was all.
func (s *store) disturb(caller string, h http.Handler, w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	m := s.modes[caller]
	s.mu.Unlock()
	if m.mode == storeServes || rand.Float64() >= m.share || r.Method == http.MethodGet && m.mode >= storeLost {
		return false
	}
	switch m.mode {
	case storeBusy:
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "busy"})
		return true
	case storeLost, storeLate:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return true
		}
		again := r.Clone(context.Background())
		again.Body = io.NopCloser(bytes.NewReader(body))
		if m.mode == storeLate {
			time.AfterFunc(time.Second+rand.N(5*time.Second), func() { h.ServeHTTP(discard{}, again) })
		} else {
			h.ServeHTTP(discard{}, again)
		}
	}
	<-r.Context().Done()
	return true
}

// setMode sets how the store treats a share of the calls of a caller.
func (s *store) setMode(caller string, mode storeMode, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[caller] = callerMode{mode, share}
	s.record.add("the store's mode for %s: %d for a share of %v", caller, mode, share)
}

// setLatency sets how long each call takes.
func (s *store) setLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
	s.record.add("each call of the store takes %v", d)
}

// rebalance deals all partitions of all groups anew at once.
func (s *store) rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.add("the store deals all partitions anew")
	for _, g := range s.groups {
		g.shift++
		g.generation++
		for p, target := range g.targets() {
			g.owners[p] = target
		}
	}
}

// storeLog is one partition of a topic.
type storeLog struct {
	keyed     bool
	records   [][]byte
	newest    map[string]keyedValue
	producers map[string]*producerState
}

type keyedValue struct {
	value  []byte
	offset int
}

type producerState struct {
	epoch, seq int64
	// responses has the responses to the last appends by their sequence numbers.
	responses map[int64][]byte
}

func newStore(r *record) *store {
	return &store{
		record: r, logs: make(map[string]*storeLog), groups: make(map[string]*storeGroup),
		modes: make(map[string]callerMode), changed: make(chan struct{}), latency: storeLatency,
	}
}

// listen serves a caller at an address of its own.
func (s *store) listen(caller, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.listNewest)
	mux.HandleFunc("POST /v1/log-join", s.join)
	mux.HandleFunc("POST /v1/log-leave", s.leave)
	mux.HandleFunc("GET /v1/log-owners", s.listOwners)
	mux.HandleFunc("POST /v1/log-trim", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, struct{}{}) })
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		latency := s.latency
		s.mu.Unlock()
		time.Sleep(latency)
		if !s.disturb(caller, mux, w, r) {
			mux.ServeHTTP(w, r)
		}
	})}
	go srv.Serve(l) //nolint:errcheck // it serves until the process ends
	return nil
}

// setTurnedAway makes the store answer all calls of a caller with status 503, or serve it again.
func (s *store) setTurnedAway(caller string, away bool) {
	mode := storeServes
	if away {
		mode = storeBusy
	}
	s.setMode(caller, mode, 1)
}

// put writes a record as the operator does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked(topic, "0").add(append(append([]byte{byte(len(key))}, key...), value...))
	s.notifyLocked()
}

func (s *store) logLocked(topic, part string) *storeLog {
	name := topic + "/" + part
	l := s.logs[name]
	if l == nil {
		l = &storeLog{keyed: strings.HasPrefix(topic, "keyed."), newest: make(map[string]keyedValue), producers: make(map[string]*producerState)}
		s.logs[name] = l
	}
	return l
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (l *storeLog) add(raw []byte) {
	if l.keyed {
		k := int(raw[0])
		key, value := string(raw[1:1+k]), raw[1+k:]
		delete(l.newest, key)
		if len(value) > 0 {
			l.newest[key] = keyedValue{value: value, offset: len(l.records)}
		}
	}
	l.records = append(l.records, raw)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.logLocked(q.Get("topic"), q.Get("part"))
	var p *producerState
	if name := q.Get("producer"); name != "" {
		var done bool
		if p, done = l.checkProducer(w, q.Get("producer"), number(q.Get("epoch")), number(q.Get("seq_no")), len(body) == 0); done {
			return
		}
	}
	first := len(l.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		l.add(slices.Clone(body[4 : 4+n]))
		body = body[4+n:]
	}
	answer, err := json.Marshal(map[string]int{"offset": first, "end_offset": len(l.records)})
	if err != nil {
		panic(err) // a map of numbers can always be encoded
	}
	if p != nil {
		p.responses[p.seq] = answer
		delete(p.responses, p.seq-rememberedAppends)
	}
	s.notifyLocked()
	w.Header().Set("Content-Type", "application/json")
	w.Write(answer) //nolint:errcheck // the caller may be gone
}

// checkProducer checks the epoch and the sequence number of an append. done is set if it has
// responded.
func (l *storeLog) checkProducer(w http.ResponseWriter, name string, epoch, seq int64, empty bool) (p *producerState, done bool) {
	p = l.producers[name]
	switch {
	case p != nil && epoch < p.epoch:
		reply(w, http.StatusConflict, map[string]string{"reason": "fenced"})
		return p, true
	case p == nil || epoch > p.epoch:
		p = &producerState{epoch: epoch, seq: seq, responses: make(map[int64][]byte)}
		l.producers[name] = p
	case empty:
	case p.responses[seq] != nil:
		w.Header().Set("Content-Type", "application/json")
		w.Write(p.responses[seq]) //nolint:errcheck // the caller may be gone
		return p, true
	case seq != p.seq+1:
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq_no": p.seq + 1})
		return p, true
	default:
		p.seq = seq
	}
	if empty {
		reply(w, http.StatusOK, map[string]int{"offset": len(l.records), "end_offset": len(l.records)})
	}
	return p, empty
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := int(number(q.Get("from")))
	timeout := time.After(time.Duration(number(q.Get("wait_ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		l, changed := s.logLocked(q.Get("topic"), q.Get("part")), s.changed
		end := len(l.records)
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < end; i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(l.records[i])))
			out = append(out, l.records[i]...)
		}
		s.mu.Unlock()
		if from >= end {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		w.Write(out) //nolint:errcheck // the caller may be gone
		return
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.logLocked(q.Get("topic"), q.Get("part"))
	var keys []string
	for key := range l.newest {
		if key > q.Get("depends_on") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxNewestItems)] {
		v := l.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(v.value), "offset": v.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > maxNewestItems, "end_offset": len(l.records)})
}

// number parses a decimal number; zero if it is none.
func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the caller may be gone
}
