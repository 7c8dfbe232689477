package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against profiles that are served by default: they reveal details of the code, and taking one
// uses a core.
func TestProfilesAreServedOnlyWhenEnabled(t *testing.T) {
	is := is.New(t)
	metrics := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	status := func(profiles bool, path string) int {
		w := httptest.NewRecorder()
		metricsHandler(profiles, metrics).ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	is.Equal(status(false, "/metrics"), http.StatusOK)
	is.Equal(status(false, "/debug/pprof/goroutine"), http.StatusNotFound)
	is.Equal(status(true, "/debug/pprof/goroutine"), http.StatusOK)
}
