package tlsconf

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// httpPair is a certificate for a listener that asks its clients for none. It
// looks at its files when a client connects, at most once a DefaultPoll.
type httpPair struct {
	cert, key string

	mu sync.Mutex
	// The rest is guarded by mu.
	loaded   *tls.Certificate
	modified [2]time.Time
	looked   time.Time
}

// HTTPServer returns the configuration of an HTTPS listener whose clients prove
// themselves with tokens. Replaced files are taken up; files that don't load
// leave the former certificate in use. Errors name the file at fault.
func HTTPServer(cert, key string) (*tls.Config, error) {
	p := &httpPair{cert: cert, key: key}
	if err := p.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.current(time.Now()), nil
		},
	}, nil
}

// load reads the files. The modification times are taken first: files replaced
// while they are read look changed at the next look.
func (p *httpPair) load() error {
	var modified [2]time.Time
	for i, path := range []string{p.cert, p.key} {
		info, err := os.Stat(path)
		if err != nil {
			return errors.Wrap(err, "HTTP certificate")
		}
		modified[i] = info.ModTime()
	}
	if modified == p.modified {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(p.cert, p.key)
	if err != nil {
		return errors.Wrapf(err, "HTTP certificate %s with key %s", p.cert, p.key)
	}
	p.loaded, p.modified = &pair, modified
	return nil
}

func (p *httpPair) current(now time.Time) *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.looked) >= DefaultPoll {
		p.looked = now
		if err := p.load(); err != nil {
			klog.ErrorS(err, "HTTP certificate not reloaded; the former one stays in use")
		}
	}
	return p.loaded
}
