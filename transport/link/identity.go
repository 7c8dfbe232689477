package link

import (
	"crypto/tls"
	"net/netip"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/wire"
	"github.com/shallotstep/shallotstep/state"
)

// errWrongPeer says that an address is held by another node than expected, as
// after a restart under a new incarnation.
var errWrongPeer = errors.New("another node answers at this address")

// errIdentity says that a peer's certificate doesn't prove its node id.
var errIdentity = errors.New("certificate doesn't name the node")

// baseName returns the part of id before the '@', or "" when id has no name or
// no incarnation.
func baseName(id state.NodeID) string {
	name, incarnation, _ := strings.Cut(string(id), "@")
	if incarnation == "" || len(id) > wire.MaxNameLength {
		return ""
	}
	return name
}

// checkAddr accepts IP:port. Plain TCP is allowed on loopback only: without TLS
// anybody who reaches the port could speak as any node.
func checkAddr(addr string, secure bool) (netip.AddrPort, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ap, errors.Wrapf(err, "address %q", addr)
	}
	if !secure && !ap.Addr().Unmap().IsLoopback() {
		return ap, errors.Errorf("address %s: without TLS only loopback is allowed", addr)
	}
	return ap, nil
}

// checkCertificate says whether the certificate of a verified connection may
// speak for id. The names that count are the DNS names; a common name doesn't.
func (t *TLS) checkCertificate(id state.NodeID, cs *tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.Wrapf(errIdentity, "%s: no certificate", id)
	}
	base := baseName(id)
	for _, name := range cs.PeerCertificates[0].DNSNames {
		if name == base || slices.Contains(t.FleetNames, name) {
			return nil
		}
	}
	return errors.Wrapf(errIdentity, "%s: certificate is for %v", id, cs.PeerCertificates[0].DNSNames)
}

// clientConfig returns the configuration to dial id with. The name is checked
// within the handshake, so nothing is sent to a wrong peer. refused is called
// with the reason when the peer doesn't pass, because the library reports any
// failed handshake as an address that can't be reached.
func (t *TLS) clientConfig(id state.NodeID, refused func(error)) *tls.Config {
	cfg := t.Client.Clone()
	verify := cfg.VerifyConnection
	cfg.VerifyConnection = func(cs tls.ConnectionState) error {
		var err error
		if verify != nil {
			err = verify(cs)
		}
		if err == nil {
			err = t.checkCertificate(id, &cs)
		}
		if err != nil {
			refused(err)
		}
		return err
	}
	return cfg
}
