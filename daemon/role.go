package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"

	"github.com/pkg/errors"
	"github.com/rs/xid"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/daemon/memlimit"
	"github.com/shallotstep/shallotstep/protocol/config"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpapi"
	"github.com/shallotstep/shallotstep/transport/link"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/platformlog"
	"github.com/shallotstep/shallotstep/transport/tlsconf"
)

// part is a role as the process runs it. Run ends when its context does, which
// cuts everything off, or when a planned stop that Drain began is over.
type part interface {
	Run(ctx context.Context) error
	Drain()
}

func runRole(f flags, stdout, stderr io.Writer) int {
	s, err := config.Load(f.settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if f.check {
		return check(s, stdout, stderr)
	}
	memory, err := setUpProcess(s)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	defer memory.Stop()
	defer klog.Flush()
	limit := s.Timeouts.Drain
	if limit <= 0 {
		limit = stopLimit
	}
	ctx, stop := signals(limit)
	defer stop()
	p, err := newPart(ctx.forced, s)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	drain := context.AfterFunc(ctx.planned, p.Drain)
	defer drain()
	if err := p.Run(ctx.forced); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitDone
}

// setUpProcess hands on what holds for the process as a whole.
func setUpProcess(s *config.Settings) (*memlimit.Limit, error) {
	if s.Limits.Processors > 0 {
		runtime.GOMAXPROCS(s.Limits.Processors)
	}
	return memlimit.Set(int64(s.Limits.MemoryMB) * megabyte), metrics.SetupLog(s.Verbosity)
}

// check also opens the files that the settings name, so that a missing key is
// found before the daemon is replaced.
func check(s *config.Settings, stdout, stderr io.Writer) int {
	if _, err := loadTrust(context.Background(), s); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	fmt.Fprintf(stdout, "the settings of %s %s are good\n", s.Role, s.Name)
	return exitDone
}

func newPart(ctx context.Context, s *config.Settings) (part, error) {
	t, err := loadTrust(ctx, s)
	if err != nil {
		return nil, err
	}
	switch s.Role {
	case config.RoleEntry:
		return newEntry(s, t)
	case config.RoleAgent:
		return newAgent(s, t)
	case config.RoleStandinLog:
		return newStandinLog(s)
	case config.RoleStandinBackend:
		return newStandinBackend(s, t)
	}
	return nil, errors.Errorf("no role %q", s.Role)
}

// trust is what the files named in the settings hold.
type trust struct {
	links        *link.TLS
	http         *tls.Config
	log          platformlog.Options
	tokens       []httpapi.Token
	backendToken string
	backendTLS   *tls.Config
}

func loadTrust(ctx context.Context, s *config.Settings) (*trust, error) {
	t := &trust{}
	for _, load := range []func(context.Context, *config.Settings) error{t.loadLinks, t.loadHTTP, t.loadLog, t.loadTokens, t.loadBackend} {
		if err := load(ctx, s); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *trust) loadLinks(ctx context.Context, s *config.Settings) error {
	if !s.TLS.Enabled() {
		return nil
	}
	src, err := watched(ctx, tlsconf.Files{Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.CA})
	if err != nil {
		return err
	}
	t.links = &link.TLS{Server: src.Server(), Client: src.Client(), FleetNames: s.TLS.FleetNames}
	return nil
}

// watched loads certificates and takes up replaced files until the context ends.
func watched(ctx context.Context, files tlsconf.Files) (*tlsconf.Source, error) {
	src, err := tlsconf.Load(files)
	if err != nil {
		return nil, err
	}
	go src.Watch(ctx, tlsconf.DefaultPoll)
	return src, nil
}

func (t *trust) loadHTTP(ctx context.Context, s *config.Settings) error {
	if !s.HTTPTLS.Enabled() {
		return nil
	}
	src, err := watched(ctx, tlsconf.Files{Cert: s.HTTPTLS.Cert, Key: s.HTTPTLS.Key})
	if err != nil {
		return err
	}
	t.http = src.HTTPServer()
	return nil
}

func (t *trust) loadLog(_ context.Context, s *config.Settings) error {
	token, err := secret(s.Log.TokenFile)
	if err != nil {
		return err
	}
	conf, err := clientTLS(s.Log.CA, s.Log.Cert, s.Log.Key)
	t.log = platformlog.Options{URL: s.Log.URL, Timeout: s.Timeouts.Log, Token: token, TLS: conf}
	return err
}

// secret reads a token file; without one there is no token.
func secret(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	return config.LoadSecret(path)
}

func (t *trust) loadTokens(_ context.Context, s *config.Settings) error {
	if s.TokensFile == "" {
		return nil
	}
	tokens, err := config.LoadTokens(s.TokensFile)
	if err != nil {
		return err
	}
	for _, k := range tokens {
		t.tokens = append(t.tokens, httpapi.Token{Secret: k.Secret, Operator: k.Operator, Role: httpapi.Role(k.Role)})
	}
	return nil
}

func (t *trust) loadBackend(_ context.Context, s *config.Settings) error {
	token, err := secret(s.Backend.TokenFile)
	if err != nil {
		return err
	}
	t.backendToken = token
	t.backendTLS, err = clientTLS(s.Backend.CA, "", "")
	return err
}

// clientTLS returns nil when no file is named: the library's defaults.
func clientTLS(ca, cert, key string) (*tls.Config, error) {
	if ca == "" && cert == "" {
		return nil, nil
	}
	conf := &tls.Config{MinVersion: tls.VersionTLS12}
	if ca != "" {
		pem, err := os.ReadFile(ca)
		if err != nil {
			return nil, errors.Wrap(err, "CA")
		}
		conf.RootCAs = x509.NewCertPool()
		if !conf.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("CA %s holds no certificate", ca)
		}
	}
	if cert != "" {
		pair, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return nil, errors.Wrapf(err, "certificate %s with key %s", cert, key)
		}
		conf.Certificates = []tls.Certificate{pair}
	}
	return conf, nil
}

// memberOf returns this incarnation of the daemon that the settings describe.
func memberOf(s *config.Settings) state.Member {
	return state.Member{
		ID:     state.NodeID(s.Name + "@" + xid.New().String()),
		Addr:   s.Advertise.Peer,
		Region: s.Region,
		Domain: s.Domain,
		Rack:   s.Rack,
	}
}

func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	return l, errors.Wrapf(err, "listen on %s", addr)
}
