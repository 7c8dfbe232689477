package agentapi

import (
	"crypto/subtle"
	"net"
	"net/http"
	"net/netip"
	"strings"
)

// carries says whether the request has the bearer token. The comparison takes
// the same time for every wrong token of one length.
func carries(r *http.Request, token string) bool {
	scheme, got, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(strings.TrimSpace(got)), []byte(token)) == 1
}

// fromSameHost says whether the connection has both ends on one host: over the
// loopback interface, or from the very address that it was made to.
func fromSameHost(r *http.Request) bool {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	from := remote.Addr().Unmap()
	if from.IsLoopback() {
		return true
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return ok && local.AddrPort().Addr().Unmap() == from
}
