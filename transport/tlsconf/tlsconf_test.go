package tlsconf_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/transport/tlsconf"
	"github.com/shallotstep/shallotstep/transport/tlsconf/devca"
)

func newCA(t *testing.T) *devca.CA {
	ca, err := devca.New(time.Now())
	is.New(t).NoErr(err)
	return ca
}

// issue writes the files of a node into dir.
func issue(t *testing.T, ca *devca.CA, dir, name string, lifetime time.Duration) tlsconf.Files {
	is := is.New(t)
	pair, err := ca.Leaf(time.Now(), lifetime, []string{name})
	is.NoErr(err)
	cert, key, err := pair.Write(dir, "node")
	is.NoErr(err)
	caFile := filepath.Join(dir, devca.CAFile)
	is.NoErr(os.WriteFile(caFile, ca.PEM(), 0o600))
	return tlsconf.Files{Cert: cert, Key: key, CA: caFile}
}

func load(t *testing.T, files tlsconf.Files) *tlsconf.Source {
	s, err := tlsconf.Load(files)
	is.New(t).NoErr(err)
	return s
}

// handshake is what became of one. In TLS 1.3 only the server's word counts for
// the client's certificate: the client learns of its refusal later.
type handshake struct {
	client, server error
	// names are those of the server's certificate.
	names []string
}

func shake(t *testing.T, server, client *tls.Config) handshake {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			s := tls.Server(conn, server)
			err = s.Handshake()
			s.Close()
		}
		done <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	c := tls.Client(conn, client)
	defer c.Close()
	h := handshake{client: c.Handshake()}
	if h.client == nil {
		h.names = c.ConnectionState().PeerCertificates[0].DNSNames
	}
	h.server = <-done
	return h
}

func TestHandshakes(t *testing.T) {
	ca := newCA(t)
	good := load(t, issue(t, ca, t.TempDir(), "a", time.Hour))
	stranger := load(t, issue(t, newCA(t), t.TempDir(), "a", time.Hour))
	expired := load(t, issue(t, ca, t.TempDir(), "a", -time.Minute))
	old := good.Client()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	bare := good.Client()
	bare.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &tls.Certificate{}, nil
	}
	for name, c := range map[string]struct {
		server, client *tls.Config
		ok             bool
	}{
		"both of the fleet":    {good.Server(), good.Client(), true},
		"client of another CA": {good.Server(), stranger.Client(), false},
		"server of another CA": {stranger.Server(), good.Client(), false},
		"expired client":       {good.Server(), expired.Client(), false},
		"expired server":       {expired.Server(), good.Client(), false},
		"TLS 1.2":              {good.Server(), old, false},
		"no certificate":       {good.Server(), bare, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := shake(t, c.server, c.client)
			is.New(t).Equal(h.client == nil && h.server == nil, c.ok)
		})
	}
}

// An operator replaces certificate and CA. The configurations that are in use
// serve the new ones; a half-written replacement leaves the former in force.
func TestRefresh(t *testing.T) {
	is := is.New(t)
	ca, dir := newCA(t), t.TempDir()
	files := issue(t, ca, dir, "old", time.Hour)
	s := load(t, files)
	server, client := s.Server(), s.Client()
	changed, err := s.Refresh()
	is.NoErr(err)
	is.True(!changed)

	pair, err := newCA(t).Leaf(time.Now(), time.Hour, []string{"half"})
	is.NoErr(err)
	is.NoErr(os.WriteFile(files.Key, pair.Key, 0o600)) // its certificate is still to come
	_, err = s.Refresh()
	is.True(err != nil && strings.Contains(err.Error(), files.Key))
	h := shake(t, server, client)
	is.NoErr(h.server)
	is.Equal(h.names, []string{"old"})

	next := newCA(t)
	issue(t, next, dir, "new", time.Hour)
	changed, err = s.Refresh()
	is.NoErr(err)
	is.True(changed)
	h = shake(t, server, client)
	is.NoErr(h.server)
	is.Equal(h.names, []string{"new"})
	formerFleet := load(t, issue(t, ca, t.TempDir(), "old", time.Hour))
	h = shake(t, server, formerFleet.Client())
	is.True(h.server != nil)
}

func TestErrorsNameTheFile(t *testing.T) {
	good := issue(t, newCA(t), t.TempDir(), "a", time.Hour)
	empty := filepath.Join(t.TempDir(), "empty.pem")
	is.New(t).NoErr(os.WriteFile(empty, nil, 0o600))
	for _, bad := range []string{empty, filepath.Join(t.TempDir(), "missing.pem")} {
		for _, files := range []tlsconf.Files{
			{Cert: bad, Key: good.Key, CA: good.CA},
			{Cert: good.Cert, Key: bad, CA: good.CA},
			{Cert: good.Cert, Key: good.Key, CA: bad},
		} {
			_, err := tlsconf.Load(files)
			is.New(t).True(err != nil && strings.Contains(err.Error(), bad))
		}
	}
}

func TestAuthorityIsLoadedAgain(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(newCA(t).Write(dir))
	info, err := os.Stat(filepath.Join(dir, devca.CAKeyFile))
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	ca, err := devca.Load(dir)
	is.NoErr(err)
	pair, err := ca.Leaf(time.Now(), time.Hour, []string{"a"})
	is.NoErr(err)
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	is.NoErr(err)
	roots := x509.NewCertPool()
	is.True(roots.AppendCertsFromPEM(ca.PEM()))
	_, err = cert.Leaf.Verify(x509.VerifyOptions{Roots: roots, DNSName: "a"})
	is.NoErr(err)
}
