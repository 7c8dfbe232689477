package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/routing"
	"github.com/shallotstep/shallotstep/transport/guard"
)

// Guards against limits on clients that stay those of an earlier configuration, or are missing before the
// first one.
func TestClientLimitsAreThoseInForce(t *testing.T) {
	is := is.New(t)
	is.Equal(clientLimits(nil), guard.Limits{}) // the listener's defaults
	got := clientLimits(&routing.Table{MaxHeaderBytes: 1, HeaderTimeout: 2 * time.Second, IdleTimeout: 3 * time.Second})
	is.Equal(got, guard.Limits{HeaderBytes: 1, HeaderTimeout: 2 * time.Second, IdleTimeout: 3 * time.Second})
}
