package session

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os/exec"
	"testing"

	"github.com/shallotstep/shallotstep/transport/tlsconf/devca"
)

// TestMutualTLSAndTokens: with certificates and tokens the whole system works
// as without, and an operator's token doesn't reach beyond its operator: not to
// another's declaration, history, services or jobs. A caller's token doesn't
// declare, and without a token nothing is let in.
func TestMutualTLSAndTokens(t *testing.T) {
	notShort(t)
	t.Parallel()
	s := newDeclaredSystem(t, options{entries: 1, trust: newTrust(t)})
	id := s.jobAt("secure", s.agents[0])
	complete(t, s.entry(0).submit(job(id, 20, 0)), id, 20)
	foreign, caller, nobody := s.entry(0), s.entry(0), s.entry(0)
	foreign.token, caller.token, nobody.token = gridlogToken, callerToken, ""
	second := declarationFile(t, "declaration-2.json")
	other := s.jobAt("other", s.agents[0])
	for _, r := range []reply{
		foreign.apply(operator, 1, second),
		foreign.get("/v1/declarations/haneul"),
		foreign.get("/v1/declarations/haneul/history"),
		foreign.submit(job(other, 1, 0)),
		foreign.query(id),
		foreign.cancel(id),
		caller.apply(operator, 1, second),
		caller.get("/v1/status"),
	} {
		refused(t, r, http.StatusForbidden, "forbidden")
	}
	// The file of one operator under another's name is no way round.
	refused(t, foreign.apply("gridlog", 0, second), http.StatusBadRequest, "malformed")
	// Nor is a service that another operator has declared.
	taken := bytes.Replace(second, []byte(`"haneul"`), []byte(`"gridlog"`), 1)
	refused(t, foreign.apply("gridlog", 0, taken), http.StatusConflict, "service_owned")
	for _, r := range []reply{nobody.submit(job(other, 1, 0)), nobody.apply(operator, 1, second), nobody.get("/v1/status")} {
		refused(t, r, http.StatusUnauthorized, "unauthorized")
	}
	if got := s.entry(0).get("/v1/declarations/haneul"); got.header.Get("Etag") != `"1"` {
		t.Errorf("the declaration has been touched: %s", got)
	}
	if n := s.started(other); n != 0 {
		t.Errorf("%d tasks of a refused job were started", n)
	}
	complete(t, caller.submit(job(other, 1, 0)), other, 1)
	cliWithToken(s)
}

func refused(t testing.TB, r reply, status int, reason string) {
	t.Helper()
	if a := r.answer(t); r.status != status || string(a.Reason) != reason {
		t.Errorf("want %d %s, got %s", status, reason, r)
	}
}

// cliWithToken applies by the command line, with the CA and a token file.
func cliWithToken(s *system) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	defer cancel()
	run := func(token string) (string, int) {
		path := s.o.trust.path("cli.token")
		writeFile(s.t, path, []byte(token+"\n"))
		cmd := exec.CommandContext(ctx, cliPath, "apply", "-addr", s.entries[0].http,
			"-ca", s.o.trust.path(devca.CAFile), "-token-file", path, "testdata/declaration-2.json")
		out, _ := cmd.CombinedOutput()
		return string(out), cmd.ProcessState.ExitCode()
	}
	if out, code := run(gridlogToken); code != 1 {
		s.t.Errorf("apply with another operator's token exits with %d: %s", code, out)
	}
	if out, code := run(haneulToken); code != 0 {
		s.t.Errorf("apply exits with %d: %s", code, out)
	}
}

// TestWrongCertificates: a process with a certificate of another authority, and
// one whose certificate is of the right authority but for another name, read the
// log and know the agents' addresses, but no agent takes a message from them:
// jobs sent through them start nothing. A bare client gets no link either.
func TestWrongCertificates(t *testing.T) {
	notShort(t)
	t.Parallel()
	tr := newTrust(t)
	s := newDeclaredSystem(t, options{entries: 1, trust: tr})
	strange := newCA(t)
	for name, wrong := range map[string]struct {
		ca     *devca.CA
		bearer string
	}{
		"entry-strange": {strange, "entry-strange"},
		"entry-alias":   {tr.ca, "entry-other"},
	} {
		id := s.jobAt(name, s.agents[0])
		p := s.startWrongEntry(name, wrong.ca, wrong.bearer)
		r := s.clientOf(p).submit(job(id, 2, 0))
		a := oneOf(t, r, "not_run", "unknown")
		t.Logf("%s is told %s (%s)", name, a.Outcome, a.Reason)
		if n := s.started(id); n != 0 {
			t.Errorf("%d tasks were started for %s", n, name)
		}
	}
	for name, cert := range map[string]*devca.CA{"none": nil, "of another authority": strange} {
		if err := dialPeer(s, s.agents[0], cert); err == nil {
			t.Errorf("a client with certificate %s is taken in", name)
		}
	}
	if err := dialPeer(s, s.agents[0], tr.ca); err != nil {
		t.Errorf("a client with a good certificate is refused: %v", err)
	}
	id := s.jobAt("good", s.agents[0])
	complete(t, s.entry(0).submit(job(id, 2, 0)), id, 2)
}

// startWrongEntry starts an entry with a certificate that doesn't prove it.
func (s *system) startWrongEntry(name string, ca *devca.CA, bearer string) *process {
	s.t.Helper()
	c := s.node("entry", name, domains[0])
	c["listen"] = settings{"http": "127.0.0.1:0"}
	s.o.trust.addEntry(s.t, c, name)
	cert, key := s.o.trust.leaf(s.t, ca, name+"-wrong", bearer)
	c["tls"] = settings{"cert": cert, "key": key, "ca": s.o.trust.path(devca.CAFile)}
	p := startProcess(s.t, name, s.write(name, c))
	g := p.awaitLog(servesPattern)
	p.node, p.http = g[1], g[2]
	p.await("reading the log", func() bool {
		doc := s.clientOf(p).status()
		return len(doc.Roster) == len(s.agents) && len(doc.Declarations) == 1
	})
	return p
}

// dialPeer makes a TLS connection to an agent's peer listener and reports
// whether the agent takes it: with TLS 1.3 a client learns only on reading that
// its certificate was refused.
func dialPeer(s *system, p *process, ca *devca.CA) error {
	s.t.Helper()
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(s.o.trust.ca.PEM())
	conf := &tls.Config{
		RootCAs: roots, ServerName: p.name, MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
	}
	if ca != nil {
		cert, key := s.o.trust.leaf(s.t, ca, "bare", "bare")
		pair, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			s.t.Fatal(err)
		}
		conf.Certificates = []tls.Certificate{pair}
	}
	conn, err := tls.Dial("tcp", p.peer, conf)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1)) // the server's first HTTP/2 frame, or the refusal
	return err
}
