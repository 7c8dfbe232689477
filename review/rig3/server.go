package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the servers, as DEPLOY states them.
const (
	holdMax     = 1000 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	endsListed  = 500
	maxHoldWait = 2000 * time.Millisecond
)

// server is a stand-in for an executor. Its tasks work for as long as their spec says.
type server struct {
	id, service, addr, control string
	cpu, mem                   int64
	labels                     []string
	log                        *record
	srv                        *http.Server
	began                      time.Time
	stop                       chan struct{}
	once                       sync.Once

	mu       sync.Mutex
	fence    int64
	deadline int64
	seq      int64
	lastEnd  int64
	draining bool
	// grey is the share of its runs that the server fails.
	grey    float64
	runs    map[string]*serverRun
	barred  map[string]int64
	ends    []serverEnd
	changed chan struct{}
}

type serverRun struct {
	number int64
	timer  *time.Timer
}

type serverEnd struct {
	seq    int64
	task   string
	number int64
	how    string
	// lapsed is set once the lease has lapsed after the end.
	lapsed bool
}

// work is what a task does: it works for work_ms, and then ends as failed if fail is set.
type work struct {
	WorkMS int64 `json:"work_ms"`
	Fail   bool  `json:"fail"`
}

func newServer(id, service, addr, control string, cpu int64, labels []string, log *record) (*server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, addr: l.Addr().String(), control: control, cpu: cpu, mem: 65536, labels: labels, log: log,
		began: time.Now(), stop: make(chan struct{}), runs: map[string]*serverRun{}, barred: map[string]int64{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", s.handleStart)
	mux.HandleFunc("POST /v1/run-stop", s.handleStop)
	mux.HandleFunc("POST /v1/hold", s.handleHold)
	s.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Shallotstep-Expect-Instance"); want != "" && want != s.id {
			answer(w, 421, map[string]any{})
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go s.srv.Serve(l) //nolint:errcheck // it returns when the server is closed
	go s.reportLoop()
	go s.leaseLoop()
	return s, nil
}

func (s *server) clockLocked() int64 { return time.Since(s.began).Milliseconds() + 1 }

// crash ends the server and all that runs on it, without a word.
func (s *server) crash() {
	s.once.Do(func() {
		close(s.stop)
		s.srv.Close() //nolint:errcheck // an error has no consequence here
		s.mu.Lock()
		defer s.mu.Unlock()
		for task, r := range s.runs {
			r.timer.Stop()
			s.log.add("server %s: %s run %d is lost with the server", s.id, task, r.number)
			s.log.over(s.id, task, "lost")
		}
		s.runs = nil
	})
}

func (s *server) reportLoop() {
	client := &http.Client{Timeout: time.Second}
	for {
		s.mu.Lock()
		s.seq++
		state := "ready"
		if s.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{"service": s.service, "address": s.addr, "zone": "jeonju-hall", "version": "v1", "slots": 8, "state": state,
			"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu_millis": s.cpu, "mem_mb": s.mem, "gpus": 0}, "labels": s.labels,
			"clock_ms": s.clockLocked(), "seq_no": s.seq})
		s.mu.Unlock()
		pause := heartbeat
		resp, err := client.Post("http://"+s.control+"/v1/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			pause = 200 * time.Millisecond
		} else {
			resp.Body.Close() //nolint:errcheck // the body is not used
		}
		select {
		case <-s.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (s *server) leaseLoop() {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
		}
		s.mu.Lock()
		s.lapseLocked()
		s.mu.Unlock()
	}
}

func (s *server) lapseLocked() {
	if s.clockLocked() <= s.deadline {
		return
	}
	for task := range s.runs {
		s.endLocked(task, "lapsed")
	}
	for i := range s.ends {
		s.ends[i].lapsed = true
	}
}

func (s *server) endLocked(task, how string) {
	r := s.runs[task]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(s.runs, task)
	s.barred[task] = max(s.barred[task], r.number)
	s.lastEnd++
	s.ends = append(s.ends, serverEnd{seq: s.lastEnd, task: task, number: r.number, how: how})
	s.log.add("server %s: %s run %d ended %s", s.id, task, r.number, how)
	s.log.over(s.id, task, how)
	close(s.changed)
	s.changed = make(chan struct{})
}

type call struct {
	Task     string `json:"task"`
	Run      int64  `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Acked    int64  `json:"acked_through"`
	Wait     int64  `json:"wait_ms"`
}

func (s *server) extendLocked(deadline int64) {
	s.deadline = max(s.deadline, min(deadline, s.clockLocked()+holdMax.Milliseconds()))
}

func (s *server) handleStart(w http.ResponseWriter, r *http.Request) {
	var in call
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	reason := s.startLocked(&in)
	clock := s.clockLocked()
	s.mu.Unlock()
	if reason != "" {
		answer(w, 409, map[string]any{"clock_ms": clock, "reason": reason})
		return
	}
	answer(w, 200, map[string]any{"clock_ms": clock})
}

func (s *server) startLocked(in *call) string {
	if in.Fence < s.fence || s.runs == nil {
		return "fence"
	}
	s.fence = in.Fence
	if in.Deadline <= s.clockLocked() {
		return "late"
	}
	s.lapseLocked()
	s.extendLocked(in.Deadline)
	if r := s.runs[in.Task]; r != nil && r.number == in.Run {
		return ""
	}
	if in.Run <= s.barred[in.Task] || s.runs[in.Task] != nil {
		return "old"
	}
	var do work
	if json.Unmarshal([]byte(in.Spec), &do) != nil {
		do = work{WorkMS: 10}
	}
	how := "done"
	if do.Fail || rand.Float64() < s.grey {
		how = "failed"
	}
	run := &serverRun{number: in.Run}
	s.runs[in.Task] = run
	s.log.started(s.id, in.Task, in.Run, in.Spec)
	run.timer = time.AfterFunc(time.Duration(do.WorkMS)*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.runs[in.Task] == run {
			s.endLocked(in.Task, how)
		}
	})
	return ""
}

func (s *server) handleStop(w http.ResponseWriter, r *http.Request) {
	var in call
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Fence >= s.fence {
		s.fence = in.Fence
		if run := s.runs[in.Task]; run != nil && run.number <= in.Run {
			s.endLocked(in.Task, "stopped")
		}
		s.barred[in.Task] = max(s.barred[in.Task], in.Run)
	}
	answer(w, 200, map[string]any{"clock_ms": s.clockLocked()})
}

func (s *server) handleHold(w http.ResponseWriter, r *http.Request) {
	var in call
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	if in.Fence >= s.fence {
		s.fence = in.Fence
		s.lapseLocked()
		if in.Deadline > 0 {
			s.extendLocked(in.Deadline)
		}
		for len(s.ends) > 0 && s.ends[0].seq <= in.Acked {
			e := s.ends[0]
			s.log.add("server %s: the end of %s run %d (%s) is taken note of", s.id, e.task, e.number, e.how)
			if !e.lapsed {
				s.log.noted(s.id, e.task, e.how)
			}
			s.ends = s.ends[1:]
		}
	}
	changed, wait := s.changed, len(s.ends) == 0 && in.Wait > 0
	s.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(min(time.Duration(in.Wait)*time.Millisecond, maxHoldWait)):
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	active, ended := [][]any{}, [][]any{}
	for task, run := range s.runs {
		active = append(active, []any{task, run.number, "", 100, 0})
	}
	for i := range min(len(s.ends), endsListed) {
		e := &s.ends[i]
		ended = append(ended, []any{e.seq, e.task, e.number, e.how, ""})
	}
	out := map[string]any{"clock_ms": s.clockLocked(), "active_runs": active, "ended_runs": ended}
	s.mu.Unlock()
	answer(w, 200, out)
}

// use returns how much of the capacity is in use if each run takes cpu, and the capacity; both are zero once
// the server is gone.
func (s *server) use(cpu int64) (used, capacity int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		return 0, 0
	}
	return cpu * int64(len(s.runs)), s.cpu
}

// setGrey sets the share of its runs that the server fails.
func (s *server) setGrey(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grey = share
}
