package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Profiles tell of the code and cost a core: they are served where the settings say so.
func TestProfilesAreServedOnlyWhereTheyAreAskedFor(t *testing.T) {
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
