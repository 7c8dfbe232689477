package logserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
)

const (
	retryAfterSeconds = "1"
	maxFaultBytes     = 64 << 10
)

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.opts.MaxRecordBytes)))
	if err != nil {
		http.Error(w, "record too large or cut off", http.StatusRequestEntityTooLarge)
		return
	}
	// A slow service takes a record in also when its caller has given up.
	if !s.enter(context.WithoutCancel(r.Context()), w) {
		return
	}
	st := s.stream(p.ByName("stream"))
	if st == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	if !s.limiter.Allow() {
		refuse(w, "append rate exceeded")
		return
	}
	offset := st.append(data, time.Now(), s.retention())
	if s.takeLostReply() {
		panic(http.ErrAbortHandler) // net/http's way to cut a connection
	}
	writeJSON(w, http.StatusCreated, AppendReply{Offset: offset})
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if !s.enter(r.Context(), w) {
		return
	}
	st := s.stream(p.ByName("stream"))
	if st == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	q, err := parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(q.wait, s.opts.MaxWait))
	defer cancel()
	for {
		faults, changed := s.faultsAndChange()
		if !s.admit(w, faults) {
			return
		}
		reply, grown := st.read(q.from, q.limit, maxReadBytes, time.Now(), s.retention())
		if answered := answerRead(w, q, reply, ctx.Err() != nil); answered {
			return
		}
		select {
		case <-grown:
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// answerRead writes the answer to a read if there is one to give yet.
func answerRead(w http.ResponseWriter, q query, reply ReadReply, timeout bool) bool {
	outside := RangeReply{First: reply.First, End: reply.End}
	switch {
	case q.from < reply.First:
		writeJSON(w, http.StatusGone, outside)
	case q.from > reply.End:
		writeJSON(w, http.StatusRequestedRangeNotSatisfiable, outside)
	case len(reply.Records) > 0 || timeout:
		writeJSON(w, http.StatusOK, reply)
	default:
		return false
	}
	return true
}

// enter applies the faults that hit a request before it has any effect.
func (s *Server) enter(ctx context.Context, w http.ResponseWriter) bool {
	faults, _ := s.faultsAndChange()
	if faults.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMS) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return s.admit(w, faults)
}

func (s *Server) admit(w http.ResponseWriter, faults Faults) bool {
	if faults.Cut {
		panic(http.ErrAbortHandler)
	}
	if faults.Outage {
		refuse(w, "out of service")
		return false
	}
	return true
}

func (s *Server) handleGetFaults(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) handlePutFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	dec.DisallowUnknownFields()
	var f Faults
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, s.Faults())
}

// query is what a read asks for.
type query struct {
	from  int64
	limit int
	wait  time.Duration
}

func parseQuery(r *http.Request) (query, error) {
	values := r.URL.Query()
	from, err := intParam(values.Get("from"), 1)
	if err != nil {
		return query{}, err
	}
	limit, err := intParam(values.Get("limit"), defaultLimit)
	if err != nil {
		return query{}, err
	}
	waitMS, err := intParam(values.Get("wait_ms"), 0)
	if err != nil {
		return query{}, err
	}
	return query{
		from:  from,
		limit: int(min(max(limit, 1), maxLimit)),
		wait:  time.Duration(waitMS) * time.Millisecond,
	}, nil
}

func intParam(s string, fallback int64) (int64, error) {
	if s == "" {
		return fallback, nil
	}
	return strconv.ParseInt(s, 10, 64)
}

func refuse(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, why, http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller is gone if this fails; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
