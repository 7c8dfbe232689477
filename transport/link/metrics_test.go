package link

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// A person on call looks for what fills a host's network and compares what
// daemons say they send with what their peers say they get. The second stayed 0
// whatever came.
func TestBytesCountOnBothSides(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a@1", nil), start(t, "b@1", nil)
	a.SetPeer("b@1", b.addr)
	const messages = 20
	for i := range messages {
		is.True(a.Send("b@1", drop(i)))
	}
	await(t, "all received", func() bool { return len(b.received()) == messages })
	await(t, "all counted", func() bool { return testutil.ToFloat64(a.metrics.bytesOut) == testutil.ToFloat64(b.metrics.bytesIn) })
	is.True(testutil.ToFloat64(b.metrics.bytesIn) > 0)
	is.Equal(testutil.ToFloat64(b.metrics.bytesIn), testutil.ToFloat64(a.metrics.bytesOut))
	is.Equal(testutil.ToFloat64(b.metrics.bytesOut), 0.0)
}
