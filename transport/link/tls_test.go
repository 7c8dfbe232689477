package link

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/tlsconf"
	"github.com/shallotstep/shallotstep/transport/tlsconf/devca"
)

// secure is a node with a certificate in files.
type secure struct {
	*testNode
	source *tlsconf.Source
	dir    string
}

func issue(t *testing.T, ca *devca.CA, dir, name string) tlsconf.Files {
	is := is.New(t)
	pair, err := ca.Leaf(time.Now(), time.Hour, []string{name})
	is.NoErr(err)
	cert, key, err := pair.Write(dir, "node")
	is.NoErr(err)
	caFile := filepath.Join(dir, devca.CAFile)
	is.NoErr(os.WriteFile(caFile, ca.PEM(), 0o600))
	return tlsconf.Files{Cert: cert, Key: key, CA: caFile}
}

// startTLS starts a node whose certificate is for name.
func startTLS(t *testing.T, ca *devca.CA, id state.NodeID, name string, fleet ...string) *secure {
	dir := t.TempDir()
	source, err := tlsconf.Load(issue(t, ca, dir, name))
	is.New(t).NoErr(err)
	n := start(t, id, func(o *Options) {
		o.TLS = &TLS{Server: source.Server(), Client: source.Client(), FleetNames: fleet}
	})
	return &secure{testNode: n, source: source, dir: dir}
}

func newCA(t *testing.T) *devca.CA {
	ca, err := devca.New(time.Now())
	is.New(t).NoErr(err)
	return ca
}

func (n *secure) count(v string) int {
	return int(testutil.ToFloat64(n.metrics.downs.WithLabelValues(v)))
}

func (n *secure) rejections() int {
	return int(testutil.ToFloat64(n.metrics.rejected.WithLabelValues(string(ReasonIdentity))))
}

// A host with a certificate of the fleet, but for another name, poses as a node:
// once as the one that is dialled, once as the one that dials. Both are refused
// before a message passes.
func TestWrongPeerNameIsRefused(t *testing.T) {
	is := is.New(t)
	ca := newCA(t)
	good := startTLS(t, ca, "good@1", "good")
	posing := startTLS(t, ca, "victim@1", "thief")
	good.SetPeer("victim@1", posing.addr)
	is.True(good.Send("victim@1", drop(0)))
	await(t, "down", func() bool { return good.count(string(ReasonIdentity)) == 1 })
	posing.SetPeer("good@1", good.addr)
	is.True(posing.Send("good@1", drop(0)))
	await(t, "down", func() bool { return posing.seen("down good@1") == 1 })
	is.Equal(good.rejections(), 1)
	is.Equal(len(good.received())+len(posing.received()), 0)
}

func TestFleetNameStandsForAnyNode(t *testing.T) {
	is := is.New(t)
	ca := newCA(t)
	a := startTLS(t, ca, "a@1", "fleet", "fleet")
	b := startTLS(t, ca, "b@1", "fleet", "fleet")
	a.SetPeer("b@1", b.addr)
	is.True(a.Send("b@1", drop(0)))
	await(t, "the message", func() bool { return len(b.received()) == 1 })
}

// The operator replaces certificate and CA of a running node. Open links go on;
// a node that still has the old ones is refused, one with the new ones links.
func TestCertificateReplacedWhileRunning(t *testing.T) {
	is := is.New(t)
	ca, next := newCA(t), newCA(t)
	a, b := startTLS(t, ca, "a@1", "a"), startTLS(t, ca, "b@1", "b")
	a.SetPeer("b@1", b.addr)
	is.True(a.Send("b@1", drop(0)))
	await(t, "the first", func() bool { return len(b.received()) == 1 })
	issue(t, next, b.dir, "b")
	changed, err := b.source.Refresh()
	is.NoErr(err)
	is.True(changed)
	is.True(a.Send("b@1", drop(1)))
	await(t, "the open link", func() bool { return len(b.received()) == 2 })

	late := startTLS(t, ca, "late@1", "late")
	late.SetPeer("b@1", b.addr)
	is.True(late.Send("b@1", drop(2)))
	await(t, "down", func() bool { return late.seen("down b@1") == 1 })
	renewed := startTLS(t, next, "renewed@1", "renewed")
	renewed.SetPeer("b@1", b.addr)
	is.True(renewed.Send("b@1", drop(3)))
	await(t, "the renewed one", func() bool { return len(b.received()) == 3 })
	is.Equal(b.received(), []string{"a@1:0", "a@1:1", "renewed@1:3"})
}
