package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// read takes the state of the files before their content, so that a change in
// between is seen as one by the next Refresh.
func read(files Files) (*material, error) {
	stat, err := statAll(files)
	if err != nil {
		return nil, err
	}
	cert, err := readPair(files)
	if err != nil {
		return nil, err
	}
	m := &material{cert: cert, stat: stat}
	if files.CA == "" {
		return m, nil
	}
	m.roots, err = readRoots(files.CA)
	if err != nil {
		return nil, err
	}
	return m, nil
}

func readPair(files Files) (*tls.Certificate, error) {
	certPEM, err := os.ReadFile(files.Cert)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	keyPEM, err := os.ReadFile(files.Key)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s with key %s", files.Cert, files.Key)
	}
	return &cert, nil
}

func readRoots(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "CA")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("CA %s: no certificate in it", path)
	}
	return roots, nil
}

func statAll(files Files) (out [3]os.FileInfo, err error) {
	for i, path := range files.paths() {
		if path == "" {
			continue
		}
		out[i], err = os.Stat(path)
		if err != nil {
			return out, errors.Wrap(err, "TLS file")
		}
	}
	return out, nil
}

func same(a, b [3]os.FileInfo) bool {
	for i := range a {
		if a[i] == nil && b[i] == nil {
			continue
		}
		unchanged := os.SameFile(a[i], b[i]) && a[i].Size() == b[i].Size() && a[i].ModTime().Equal(b[i].ModTime())
		if !unchanged {
			return false
		}
	}
	return true
}
