package daemon

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/transport/tlsconf/devca"
)

// fleetFiles writes a CA and a certificate and returns the keys that name them.
func fleetFiles(t *testing.T, dir string) map[string]string {
	t.Helper()
	is := is.New(t)
	ca, err := devca.New(time.Now())
	is.NoErr(err)
	is.NoErr(ca.Write(dir))
	pair, err := ca.Leaf(time.Now(), time.Hour, []string{"fleet.example"})
	is.NoErr(err)
	cert, key, err := pair.Write(dir, "fleet")
	is.NoErr(err)
	return map[string]string{
		"tls.cert": fmt.Sprintf("%q", cert),
		"tls.key":  fmt.Sprintf("%q", key),
		"tls.ca":   fmt.Sprintf("%q", filepath.Join(dir, devca.CAFile)),
	}
}
