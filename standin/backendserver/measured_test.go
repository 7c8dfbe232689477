package backendserver

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/protocol/standin"
)

// A measurement freezes a server over HTTP, reads what it has started, and must
// be able to thaw it again. A call that waited for the thaw itself would leave
// the server frozen for good, and an open call would let anybody do it.
func TestFrozenServerIsReadAndThawedOverHTTP(t *testing.T) {
	is := is.New(t)
	s := New(Options{Token: "secret"})
	t.Cleanup(s.Kill)
	srv := httptest.NewServer(s.handler())
	defer srv.Close()
	call := func(method, path, body, token string) (int, string) {
		req, err := http.NewRequest(method, srv.URL+path, strings.NewReader(body))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := srv.Client().Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		var text json.RawMessage
		is.NoErr(json.NewDecoder(resp.Body).Decode(&text))
		return resp.StatusCode, string(text)
	}
	now := time.Now()
	first, other := request("a", int64(hour)), request("b", int64(hour))
	other.Job = "k"
	for range 2 {
		s.begin(first, now)
	}
	s.begin(other, now)

	code, _ := call("PUT", standin.FaultsPath, `{"freeze":true}`, "wrong")
	is.Equal(code, http.StatusUnauthorized)
	code, _ = call("PUT", standin.FaultsPath, `{"freezing":true}`, "secret")
	is.Equal(code, http.StatusBadRequest)
	is.Equal(s.currentFaults(), Faults{})

	code, _ = call("PUT", standin.FaultsPath, `{"freeze":true,"slow_ms":20}`, "secret")
	is.Equal(code, http.StatusOK)
	is.Equal(s.currentFaults(), Faults{Freeze: true, Slow: 20 * time.Millisecond})
	code, body := call("GET", standin.StartsPath+"?prefix=j", "", "secret")
	is.Equal(code, http.StatusOK)
	is.Equal(body, `{"tasks":[{"service":"bench-desk","job":"j","index":0,"starts":2}]}`)
	code, _ = call("PUT", standin.FaultsPath, `{}`, "secret")
	is.Equal(code, http.StatusOK)
	is.Equal(s.currentFaults(), Faults{})
}
