// Package tlsconf makes TLS configurations for mutual authentication from a
// certificate, a key and a CA in files, and follows the files when they change.
// TLS 1.3 is the only version.
//
// A certificate is replaced by writing the files; connections that are open go
// on, new ones use what the files hold at the next poll. Files that don't load
// leave what was loaded before in force.
package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// DefaultPoll is how often Watch looks at the files.
const DefaultPoll = 10 * time.Second

// Files names PEM files.
type Files struct {
	// Cert is the certificate of this process, followed by intermediates.
	Cert string
	// Key is the private key of Cert.
	Key string
	// CA holds the certificates that peers' certificates must lead up to. It is
	// empty for a listener whose clients prove themselves otherwise.
	CA string
}

func (f Files) paths() [3]string {
	return [3]string{f.Cert, f.Key, f.CA}
}

// material is what one reading of the files gave.
type material struct {
	cert  *tls.Certificate
	roots *x509.CertPool
	stat  [3]os.FileInfo
}

// Source holds the current certificate and CA. It is safe for concurrent use.
type Source struct {
	files   Files
	current atomic.Pointer[material]
	// refresh is held while the files are read, so that an older reading never
	// replaces a newer one.
	refresh sync.Mutex
}

// Load reads the files. Errors name the file at fault.
func Load(files Files) (*Source, error) {
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	s := &Source{files: files}
	s.current.Store(m)
	return s, nil
}

// Refresh reads the files again if one has changed since it was last loaded. On
// an error the former material stays and the next Refresh tries again: a
// certificate is often seen before its key is written.
func (s *Source) Refresh() (changed bool, err error) {
	s.refresh.Lock()
	defer s.refresh.Unlock()
	stat, err := statAll(s.files)
	if err != nil {
		return false, err
	}
	if same(stat, s.current.Load().stat) {
		return false, nil
	}
	m, err := read(s.files)
	if err != nil {
		return false, err
	}
	s.current.Store(m)
	return true, nil
}

// Watch refreshes until ctx ends. Errors are logged.
func (s *Source) Watch(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.refreshAndLog()
		}
	}
}

func (s *Source) refreshAndLog() {
	changed, err := s.Refresh()
	if err != nil {
		klog.ErrorS(err, "Certificate not reloaded; the former one stays in use")
		return
	}
	if changed {
		klog.InfoS("Certificate reloaded", "cert", s.files.Cert)
	}
}

// Server returns the configuration of a listener that requires certificates of
// its clients.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current.Load().cert, nil
		},
		// The chain is checked in VerifyConnection, against the CA of now: a pool
		// given here would stay what it was at the start.
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: s.verify(x509.ExtKeyUsageClientAuth),
		// A resumed session would outlive the CA that it was verified with.
		SessionTicketsDisabled: true,
	}
}

// HTTPServer returns the configuration of a listener whose clients prove
// themselves with tokens.
func (s *Source) HTTPServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current.Load().cert, nil
		},
	}
}

// Client returns the configuration to dial with. It verifies that the server's
// certificate leads up to the CA and leaves its name to the caller, who checks
// it in VerifyConnection or after the handshake.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current.Load().cert, nil
		},
		// Peers are dialled by IP and named by node, so the library's check of
		// the host name doesn't fit; verify does the rest of what it does.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify(x509.ExtKeyUsageServerAuth),
	}
}

func (s *Source) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		if len(cs.PeerCertificates) == 0 {
			return errors.New("peer sent no certificate")
		}
		opts := x509.VerifyOptions{
			Roots:         s.current.Load().roots,
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		for _, c := range cs.PeerCertificates[1:] {
			opts.Intermediates.AddCert(c)
		}
		_, err := cs.PeerCertificates[0].Verify(opts)
		return errors.Wrap(err, "peer certificate")
	}
}
