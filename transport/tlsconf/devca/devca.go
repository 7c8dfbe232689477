// Package devca makes a small certificate authority and certificates for
// tests, for trying the system out, and for fleets without an authority of
// their own. Keys are ECDSA P-256.
package devca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	// CAFile and CAKeyFile are the names of the authority's files.
	CAFile    = "ca.pem"
	CAKeyFile = "ca-key.pem"
	// caLifetime and DefaultLifetime are how long certificates hold.
	caLifetime      = 10 * 365 * 24 * time.Hour
	DefaultLifetime = 365 * 24 * time.Hour
	// backdate allows for clocks that are behind.
	backdate   = 5 * time.Minute
	serialBits = 120

	dirMode  = 0o700
	certMode = 0o644
	keyMode  = 0o600
)

// CA is a certificate authority.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Pair is a certificate and its key in PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// New makes an authority. now is the beginning of its time.
func New(now time.Time) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "CA key")
	}
	tmpl, err := template("shallotstep CA", now, caLifetime)
	if err != nil {
		return nil, err
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "CA certificate")
	}
	return &CA{cert: cert, key: key}, nil
}

// Load reads an authority that Write has written.
func Load(dir string) (*CA, error) {
	certDER, err := readBlock(filepath.Join(dir, CAFile))
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, errors.Wrap(err, filepath.Join(dir, CAFile))
	}
	keyDER, err := readBlock(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return nil, err
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	if err != nil {
		return nil, errors.Wrap(err, filepath.Join(dir, CAKeyFile))
	}
	return &CA{cert: cert, key: key}, nil
}

// Write writes the authority's certificate and key into dir. Whoever holds the
// key can speak as any node.
func (c *CA) Write(dir string) error {
	der, err := x509.MarshalECPrivateKey(c.key)
	if err != nil {
		return errors.Wrap(err, "CA key")
	}
	pair := Pair{Cert: c.PEM(), Key: encode("EC PRIVATE KEY", der)}
	return pair.write(filepath.Join(dir, CAFile), filepath.Join(dir, CAKeyFile))
}

// PEM returns the authority's certificate.
func (c *CA) PEM() []byte {
	return encode("CERTIFICATE", c.cert.Raw)
}

// Leaf makes a certificate for both ends of a connection that carries the given
// DNS names and, for clients that check addresses, IPs.
func (c *CA) Leaf(now time.Time, lifetime time.Duration, names []string, ips ...net.IP) (Pair, error) {
	if len(names) == 0 {
		return Pair{}, errors.New("a certificate needs a name")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "key")
	}
	tmpl, err := template(names[0], now, lifetime)
	if err != nil {
		return Pair{}, err
	}
	tmpl.DNSNames = names
	tmpl.IPAddresses = ips
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, c.cert, key.Public(), c.key)
	if err != nil {
		return Pair{}, errors.Wrapf(err, "certificate for %s", names[0])
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "key")
	}
	return Pair{Cert: encode("CERTIFICATE", der), Key: encode("EC PRIVATE KEY", keyDER)}, nil
}

// Write writes the pair as name.pem and name-key.pem into dir and returns the
// two paths.
func (p Pair) Write(dir, name string) (cert, key string, err error) {
	cert = filepath.Join(dir, name+".pem")
	key = filepath.Join(dir, name+"-key.pem")
	return cert, key, p.write(cert, key)
}

// write replaces each file as a whole, the key first: a process that follows
// the files sees no half-written one.
func (p Pair) write(cert, key string) error {
	if err := os.MkdirAll(filepath.Dir(cert), dirMode); err != nil {
		return errors.Wrap(err, "directory")
	}
	if err := replace(key, p.Key, keyMode); err != nil {
		return err
	}
	return replace(cert, p.Cert, certMode)
}

func replace(path string, data []byte, mode os.FileMode) error {
	temp := path + ".new"
	// A left-over file of an earlier try may have another mode.
	if err := os.Remove(temp); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "replace")
	}
	if err := os.WriteFile(temp, data, mode); err != nil {
		return errors.Wrap(err, "write")
	}
	return errors.Wrap(os.Rename(temp, path), "rename")
}

func template(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func readBlock(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, errors.Errorf("%s: no PEM block in it", path)
	}
	return block.Bytes, nil
}
