package logserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func do(s *Server, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

const records = "/v1/streams/declarations/records"

// The platform takes several hundred appends per second and no more. A test
// that asserts a rate needs the stand-in to refuse beyond it and to count.
func TestAppendRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Options{AppendsPerSecond: 5})
		for second := range 3 {
			for range 20 {
				w := do(s, http.MethodPost, records, "x")
				if w.Code != http.StatusCreated {
					is.Equal(w.Code, http.StatusServiceUnavailable)
					is.True(w.Header().Get("Retry-After") != "")
				}
			}
			is.Equal(s.Appends("declarations"), int64(5*(second+1)))
			time.Sleep(time.Second)
		}
	})
}

// A long poll ends with the first record, with a fault, or empty when its time
// is up; never late, for a follower learns of changes by it.
func TestLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Options{})
		poll := func() (*httptest.ResponseRecorder, time.Duration) {
			started := time.Now()
			w := do(s, http.MethodGet, records+"?from=1&wait_ms=5000", "")
			return w, time.Since(started)
		}
		w, waited := poll()
		is.Equal(w.Code, http.StatusOK)
		is.Equal(waited, 5*time.Second)

		time.AfterFunc(time.Second, func() { s.SetFaults(Faults{Outage: true}) })
		w, waited = poll()
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(waited, time.Second)

		s.SetFaults(Faults{})
		time.AfterFunc(2*time.Second, func() { do(s, http.MethodPost, records, "x") })
		w, waited = poll()
		is.Equal(waited, 2*time.Second)
		var reply ReadReply
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &reply))
		is.Equal(string(reply.Records[0].Data), "x")
		is.Equal(reply.Next, int64(2))
	})
}

func TestRetentionByAgeAndCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Options{RetentionAge: time.Hour, RetentionRecords: 3})
		for range 5 {
			do(s, http.MethodPost, records, "x")
		}
		w := do(s, http.MethodGet, records+"?from=1", "")
		is.Equal(w.Code, http.StatusGone)
		is.Equal(strings.TrimSpace(w.Body.String()), `{"first":3,"end":6}`)
		time.Sleep(2 * time.Hour)
		w = do(s, http.MethodGet, records+"?from=3", "")
		is.Equal(strings.TrimSpace(w.Body.String()), `{"first":6,"end":6}`)
	})
}

func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	do(s, http.MethodPost, records, "x")
	body := `{"delay_ms": 0, "lose_next_replies": 1, "truncate_below": {"declarations": 2}}`
	is.Equal(do(s, http.MethodPut, "/v1/faults", body).Code, http.StatusOK)
	is.Equal(do(s, http.MethodGet, records+"?from=1", "").Code, http.StatusGone)
	func() {
		defer func() { is.Equal(fmt.Sprint(recover()), http.ErrAbortHandler.Error()) }()
		do(s, http.MethodPost, records, "y")
	}()
	is.Equal(s.Appends("declarations"), int64(2)) // it took effect
	is.Equal(do(s, http.MethodPut, "/v1/faults", `{"outtage": true}`).Code, http.StatusBadRequest)
}
