package session

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/transport/tlsconf/devca"
)

// Bearer tokens of the tests.
const (
	haneulToken  = "haneul-operator-token"
	callerToken  = "haneul-caller-token-1"
	gridlogToken = "gridlog-operator-token"
	backendToken = "backend-server-token-1"
)

// trust holds the certificates and tokens of a system with mutual TLS.
type trust struct {
	ca  *devca.CA
	dir string
}

func newTrust(t testing.TB) *trust {
	t.Helper()
	tr := &trust{ca: newCA(t), dir: t.TempDir()}
	if err := tr.ca.Write(tr.dir); err != nil {
		t.Fatal(err)
	}
	tokens := map[string]any{"tokens": []map[string]string{
		{"secret": haneulToken, "role": "operator", "operator": operator},
		{"secret": callerToken, "role": "caller", "operator": operator},
		{"secret": gridlogToken, "role": "operator", "operator": "gridlog"},
	}}
	raw, err := json.Marshal(tokens)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, tr.path("tokens.json"), raw)
	writeFile(t, tr.path("backend.token"), []byte(backendToken+"\n"))
	return tr
}

func newCA(t testing.TB) *devca.CA {
	t.Helper()
	ca, err := devca.New(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

func writeFile(t testing.TB, path string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

func (tr *trust) path(name string) string { return filepath.Join(tr.dir, name) }

// leaf writes a certificate of a CA for a node's name and returns its files.
func (tr *trust) leaf(t testing.TB, ca *devca.CA, file, name string) (cert, key string) {
	t.Helper()
	pair, err := ca.Leaf(time.Now(), time.Hour, []string{name}, net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err = pair.Write(tr.dir, file)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

// add gives a node its certificate.
func (tr *trust) add(t testing.TB, c settings, name string) {
	t.Helper()
	cert, key := tr.leaf(t, tr.ca, name, name)
	c["tls"] = settings{"cert": cert, "key": key, "ca": tr.path(devca.CAFile)}
	if c["role"] == "agent" {
		c["backend"] = settings{"token_file": tr.path("backend.token")}
	}
}

// addEntry gives an entry TLS and tokens towards callers.
func (tr *trust) addEntry(t testing.TB, c settings, name string) {
	t.Helper()
	cert, key := tr.leaf(t, tr.ca, name+"-http", name)
	c["http_tls"] = settings{"cert": cert, "key": key}
	c["tokens_file"] = tr.path("tokens.json")
}

// client has a client speak TLS to a process with the token of operator.
func (tr *trust) client(c *client, p *process) {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(tr.ca.PEM())
	c.base = "https://" + p.http
	c.token = haneulToken
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
}

// backend returns the backend servers' token; without trust there is none.
func (tr *trust) backend() string {
	if tr == nil {
		return ""
	}
	return backendToken
}
