package metrics

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state"
)

// An alert on the increase of a reason's counter must see its first count, so the series of
// every reason exists from the start with the value zero. Undocumented reasons from other
// processes must not add series.
func TestReasonSeriesStartAtZero(t *testing.T) {
	is := is.New(t)
	m := New()
	reasons := len(state.Reasons())
	is.True(reasons > 0)
	is.Equal(testutil.CollectAndCount(m.Refusals), reasons)
	m.Refused(state.ReasonQuota)
	m.Refused("made up")
	m.Refused("made up too")
	is.Equal(testutil.ToFloat64(m.Refusals.WithLabelValues(string(state.ReasonQuota))), 1.0)
	is.Equal(testutil.ToFloat64(m.Refusals.WithLabelValues(string(state.ReasonUndocumented))), 2.0)
	is.Equal(testutil.CollectAndCount(m.Refusals), reasons)
}

// The registry must pass the Prometheus linter, so that every scraper can read it.
func TestRegistryIsWellFormed(t *testing.T) {
	is := is.New(t)
	problems, err := testutil.GatherAndLint(New().Registry)
	is.NoErr(err)
	is.Equal(len(problems), 0)
}

// Every log line of a process, errors included, is written once to the writer given to
// SetupLog.
func TestLogIsWrittenToItsWriter(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(SetupLog(&out))
	klog.InfoS("Starting", "name", "e")
	klog.ErrorS(nil, "Failed", "name", "e")
	klog.V(1).InfoS("Too much")
	klog.Flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.HasSuffix(lines[0], `"Starting" name="e"`))
	is.True(strings.HasSuffix(lines[1], `"Failed" name="e"`))
}
