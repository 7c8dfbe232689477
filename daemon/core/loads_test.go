package core

import (
	"bytes"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// A peer sends loads with speeds that can't be. Guards against placing by them, against losing the
// rest of the load, and against a log line for each frame.
func TestMalformedSpeedIsCountedAndIgnored(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(metrics.SetupLog(&out))
	t.Cleanup(func() { is.NoErr(metrics.SetupLog(os.Stderr)) })
	counters := metrics.MalformedCollector().(*prometheus.CounterVec)
	counted := func() float64 { return testutil.ToFloat64(counters.WithLabelValues(metrics.KindSpeed)) }
	before := counted()
	var r LoadReader
	now := time.Hour
	for range 20 {
		now += malformedLoadInterval / 10
		l := r.Read(now, "side-1", &corepb.Load{Service: "desk", Speed: math.NaN(), SpeedRuns: 80})
		is.Equal(l.Speed, 0.0)
		is.Equal(l.SpeedRuns, 0)
		is.Equal(l.Service, "desk")
	}
	is.Equal(counted()-before, 20.0)
	is.Equal(r.Read(now, "side-1", &corepb.Load{Speed: 1.6, SpeedRuns: 80}).Speed, 1.6)
	is.Equal(counted()-before, 20.0)
	klog.Flush()
	is.Equal(strings.Count(out.String(), "malformed speed"), 2)
}
