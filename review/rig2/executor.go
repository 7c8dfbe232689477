package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "bench-desk"
	// heartbeatPeriod is the usual time between two reports, and firstBeatRetry the pause before a
	// report that was not acknowledged is repeated.
	heartbeatPeriod = 1500 * time.Millisecond
	firstBeatRetry  = 300 * time.Millisecond
	// maxLease is the longest lease that is granted.
	maxLease = time.Second
)

// taskWork is the spec of a task: how long it runs. Fill makes the spec longer.
type taskWork struct {
	WorkMS int64 `json:"work_ms"`
	// CPU is what it demands, in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// Fail is the probability with which a run fails.
	Fail float64 `json:"fail,omitempty"`
	Fill string  `json:"fill,omitempty"`
}

// executor is a stand-in for a backend server.
type executor struct {
	record  *record
	history *history
	name    string
	addr    string
	control string
	labels  []string
	cpu     int64

	mu sync.Mutex
	// All fields below are guarded by mu.

	id       string
	lifetime int
	bornAt   time.Duration
	seq      int64
	token    int64
	deadline int64
	runs     map[string]*activeRun
	// barred has the highest run of each task that was stopped or has ended.
	barred  map[string]int64
	ends    []runEnd
	lastEnd int64
	changed chan struct{}
	// mute makes the executor leave calls unanswered, and carry nothing out.
	mute bool
	// cut holds up the reports, and grey is the share of calls that get no answer.
	cut  bool
	grey float64
	// late is the share of calls that get no answer and are carried out 2 to 12 s later.
	late     float64
	draining bool
	// answerDelay is how long each call takes.
	answerDelay time.Duration
	// keepsID makes the executor start again under its ID, and state when it started.
	keepsID bool
	down    bool
}

// setLate makes a share of the calls get no answer and be carried out late.
func (e *executor) setLate(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.late = share
	e.record.add("%s carries a share of %v of its calls out late", e.id, share)
}

// deferCall carries a call out 2 to 12 s later, unless the executor has crashed meanwhile.
func (e *executor) deferCall(h http.Handler, r *http.Request, lifetime int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	again := r.Clone(context.Background())
	again.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
		e.mu.Lock()
		alive := e.lifetime == lifetime && !e.down
		e.mu.Unlock()
		if alive {
			h.ServeHTTP(discard{}, again)
		}
	})
	<-r.Context().Done()
}

type activeRun struct {
	number int64
	cpu    int64
	timer  *time.Timer
	entry  *runEntry
}

type runEnd struct {
	n      int64
	task   string
	number int64
	how    string
	entry  *runEntry
}

type callBody struct {
	Task     string `json:"task"`
	Run      int64  `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Acked    int64  `json:"acked_through"`
	Wait     int64  `json:"wait_ms"`
}

func newExecutor(r *record, h *history, name, addr, control string, labels []string) *executor {
	return &executor{
		record: r, history: h, name: name, addr: addr, control: control, labels: labels, cpu: 16000,
		id: name + "-1", lifetime: 1, bornAt: sinceStart(), runs: make(map[string]*activeRun), barred: make(map[string]int64), changed: make(chan struct{}),
	}
}

// start serves calls and begins to report.
func (e *executor) start() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.handleStart)
	mux.HandleFunc("POST /v1/run-stop", e.handleStop)
	mux.HandleFunc("POST /v1/hold", e.handleHold)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		id, mute, down, late, lifetime := e.id, e.leavesUnansweredLocked(), e.down, rand.Float64() < e.late, e.lifetime
		e.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if mute {
			<-r.Context().Done()
			return
		}
		if want := r.Header.Get("Shallotstep-Expect-Instance"); want != "" && want != id {
			reply(w, http.StatusMisdirectedRequest, map[string]int64{"clock_ms": e.clock()})
			return
		}
		e.mu.Lock()
		delay := e.answerDelay
		e.mu.Unlock()
		time.Sleep(delay)
		if late {
			e.deferCall(mux, r, lifetime)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go srv.Serve(l) //nolint:errcheck // it serves until the process ends
	go e.beatLoop()
	go e.leaseLoop()
	return nil
}

func (e *executor) beatLoop() {
	for {
		pause := heartbeatPeriod
		if !e.beat() {
			pause = firstBeatRetry
		}
		time.Sleep(pause)
	}
}

// beat sends one report and returns whether it was acknowledged.
func (e *executor) beat() bool {
	e.mu.Lock()
	down := e.down || e.cut
	e.seq++
	id, body := e.id, e.reportLocked()
	e.mu.Unlock()
	return !down && e.send(id, body)
}

func (e *executor) reportLocked() string {
	labels, err := json.Marshal(e.labels)
	if err != nil {
		panic(err) // strings can always be encoded
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	born := ""
	if e.keepsID {
		born = fmt.Sprintf(`,"born":%d`, e.bornLocked())
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"jeonju-hall","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"capacity":{"cpu_millis":%d,"mem_mb":65536,"gpus":0},"labels":%s,"clock_ms":%d,"seq_no":%d%s}`,
		serviceName, e.addr, state, e.cpu, labels, e.clockLocked(), e.seq, born)
}

// send sends a report for a lifetime and returns whether it was acknowledged within a second.
func (e *executor) send(id, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.control+"/v1/instances/"+id+"/heartbeat", strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close() //nolint:errcheck // the body is not used
	return resp.StatusCode/100 == 2
}

func (e *executor) clock() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clockLocked()
}

func (e *executor) clockLocked() int64 { return (sinceStart() - e.bornAt).Milliseconds() + 1000 }

func (e *executor) leaseLoop() {
	for {
		time.Sleep(2 * time.Millisecond)
		e.mu.Lock()
		e.expireLocked()
		e.mu.Unlock()
	}
}

func (e *executor) expireLocked() {
	if e.clockLocked() <= e.deadline {
		return
	}
	for task := range e.runs {
		e.endLocked(task, "lapsed")
	}
	for i := range e.ends {
		e.ends[i].entry.lapsedAfter(e.history)
	}
}

func (e *executor) extendLocked(deadline int64) {
	e.deadline = max(e.deadline, min(deadline, e.clockLocked()+maxLease.Milliseconds()))
}

func (e *executor) handleStart(w http.ResponseWriter, r *http.Request) {
	var in callBody
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, map[string]int64{"clock_ms": e.clock()})
		return
	}
	e.mu.Lock()
	reason := e.startLocked(&in)
	clock := e.clockLocked()
	e.mu.Unlock()
	if reason != "" {
		reply(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
		return
	}
	reply(w, http.StatusOK, map[string]int64{"clock_ms": clock})
}

func (e *executor) startLocked(in *callBody) string {
	if in.Token < e.token {
		return "fence"
	}
	e.token = in.Token
	if in.Deadline <= e.clockLocked() {
		return "late"
	}
	e.expireLocked()
	e.extendLocked(in.Deadline)
	known := e.runs[in.Task]
	if known != nil && known.number == in.Run {
		return ""
	}
	if in.Run <= e.barred[in.Task] || known != nil {
		return "old"
	}
	var work taskWork
	if json.Unmarshal([]byte(in.Spec), &work) != nil {
		work.WorkMS = 100
	}
	run := &activeRun{number: in.Run, cpu: work.CPU, entry: e.history.started(in.Task, in.Run, e.id)}
	e.runs[in.Task] = run
	if used := e.usedLocked(); used > e.cpu {
		e.record.violation("LIMIT: the start of %s brings %s to %d of %d", in.Task, e.id, used, e.cpu)
	}
	run.timer = time.AfterFunc(time.Duration(work.WorkMS)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[in.Task] == run {
			how := "done"
			if rand.Float64() < work.Fail {
				how = "failed"
			}
			e.endLocked(in.Task, how)
		}
	})
	return ""
}

// usedLocked returns what the active runs demand, in thousandths of a core.
func (e *executor) usedLocked() int64 {
	var used int64
	for _, run := range e.runs {
		used += run.cpu
	}
	return used
}

func (e *executor) endLocked(task, how string) {
	run := e.runs[task]
	run.timer.Stop()
	delete(e.runs, task)
	e.barred[task] = max(e.barred[task], run.number)
	e.lastEnd++
	run.entry.ended(e.history, how)
	e.ends = append(e.ends, runEnd{n: e.lastEnd, task: task, number: run.number, how: how, entry: run.entry})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) handleStop(w http.ResponseWriter, r *http.Request) {
	var in callBody
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, map[string]int64{"clock_ms": e.clock()})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if in.Token < e.token {
		reply(w, http.StatusConflict, map[string]any{"clock_ms": e.clockLocked(), "reason": "fence"})
		return
	}
	e.token = in.Token
	if run := e.runs[in.Task]; run != nil && run.number <= in.Run {
		e.endLocked(in.Task, "stopped")
	}
	e.barred[in.Task] = max(e.barred[in.Task], in.Run)
	reply(w, http.StatusOK, map[string]int64{"clock_ms": e.clockLocked()})
}

// maxListedEnds is the number of ends in one list.
const maxListedEnds = 500

func (e *executor) handleHold(w http.ResponseWriter, r *http.Request) {
	var in callBody
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, map[string]int64{"clock_ms": e.clock()})
		return
	}
	timeout := time.After(time.Duration(in.Wait) * time.Millisecond)
	e.mu.Lock()
	if in.Token < e.token {
		clock := e.clockLocked()
		e.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence"})
		return
	}
	e.token = in.Token
	e.expireLocked()
	e.extendLocked(in.Deadline)
	for len(e.ends) > 0 && e.ends[0].n <= in.Acked {
		e.ends[0].entry.acked(e.history)
		e.ends = e.ends[1:]
	}
	changed, wait, lifetime := e.changed, len(e.ends) == 0, e.lifetime
	e.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-timeout:
		case <-r.Context().Done():
			return
		}
	}
	e.mu.Lock()
	if e.lifetime != lifetime || e.down {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	active, ends := [][]any{}, [][]any{}
	for task, run := range e.runs {
		active = append(active, []any{task, run.number, "", 100, 0})
	}
	for _, end := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ends = append(ends, []any{end.n, end.task, end.number, end.how, ""})
	}
	out := map[string]any{"clock_ms": e.clockLocked(), "active_runs": active, "ended_runs": ends}
	if e.keepsID {
		out["born"] = e.bornLocked()
	}
	e.mu.Unlock()
	reply(w, http.StatusOK, out)
}

// bornLocked returns when the lifetime started, as a time in milliseconds that rises with each one.
func (e *executor) bornLocked() int64 { return 1_700_000_000_000 + 1000*int64(e.lifetime) }

// crash ends everything here. The next lifetime, under a new ID, starts after a time.
func (e *executor) crash(name string, downtime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.record.add("%s crashes", e.id)
	for _, run := range e.runs {
		run.timer.Stop()
		run.entry.ended(e.history, "crashed")
	}
	for i := range e.ends {
		e.ends[i].entry.lapsedAfter(e.history)
	}
	e.runs, e.barred, e.ends, e.lastEnd = make(map[string]*activeRun), make(map[string]int64), nil, 0
	e.token, e.deadline, e.seq, e.down, e.draining = 0, 0, 0, true, false
	e.lifetime++
	if !e.keepsID {
		e.id = fmt.Sprintf("%s-%d", name, e.lifetime)
	}
	time.AfterFunc(downtime, func() {
		e.mu.Lock()
		e.down, e.bornAt = false, sinceStart()
		e.record.add("%s starts", e.id)
		e.mu.Unlock()
		e.beat()
	})
}
