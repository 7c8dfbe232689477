package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"

	"github.com/shallotstep/shallotstep/state"
)

// Default addresses. Everything listens on the loopback interface unless told
// otherwise, so a daemon started by mistake serves nobody else.
const defaultPeer = "127.0.0.1:7401"

var defaultHTTP = map[Role]string{
	RoleEntry:          "127.0.0.1:7400",
	RoleAgent:          "127.0.0.1:7402",
	RoleStandinLog:     "127.0.0.1:7499",
	RoleStandinBackend: "127.0.0.1:7403",
}

// maxName leaves room for the incarnation in a node id.
const maxName = 64

// namePattern keeps the '@' that starts the incarnation out of names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

func checkRole(s *Settings) string {
	if slices.Contains(Roles, s.Role) {
		return ""
	}
	return fmt.Sprintf("is %q, must be one of %v", s.Role, Roles)
}

func checkName(s *Settings) string { return badName(s.Name, maxName) }

func badName(name string, longest int) string {
	if len(name) > longest || !namePattern.MatchString(name) {
		return fmt.Sprintf("is %q, must be 1 to %d letters, digits, '.', '_' or '-', beginning with a letter or digit", name, longest)
	}
	return ""
}

func checkPlace(of func(*Settings) string) func(*Settings) string {
	return func(s *Settings) string { return badName(of(s), maxName) }
}

func checkListenHTTP(s *Settings) string {
	standin := s.Role == RoleStandinLog || s.Role == RoleStandinBackend
	if bad := badListener(s.Listen.HTTP, s.HTTPTLS.Enabled(), "http_tls"); bad == "" || !standin {
		return bad
	}
	return "stand-ins listen on the loopback interface only, as 127.0.0.1:port"
}

func checkListenPeer(s *Settings) string {
	return badListener(s.Listen.Peer, s.TLS.Enabled(), "tls")
}

// badListener refuses addresses off the loopback interface without TLS: anybody
// who reaches the port could read the traffic and speak as any daemon.
func badListener(addr string, secure bool, needs string) string {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Sprintf("is %q, must be an IP number and a port, such as 127.0.0.1:7400", addr)
	}
	if !secure && !ap.Addr().Unmap().IsLoopback() {
		return fmt.Sprintf("%s is off the loopback interface and needs %s.cert and %s.key", addr, needs, needs)
	}
	return ""
}

// checkAdvertise judges the address with its default in place.
func checkAdvertise(s *Settings) string {
	ap, err := netip.ParseAddrPort(s.Advertise.Peer)
	if err != nil {
		return fmt.Sprintf("is %q, must be an IP number and a port", s.Advertise.Peer)
	}
	if ap.Addr().IsUnspecified() || ap.Port() == 0 {
		return fmt.Sprintf("%s is no address that others can reach; set advertise.peer", s.Advertise.Peer)
	}
	if !s.TLS.Enabled() && !ap.Addr().Unmap().IsLoopback() {
		return fmt.Sprintf("%s is off the loopback interface and needs tls.cert, tls.key and tls.ca", s.Advertise.Peer)
	}
	return ""
}

func checkLogURL(s *Settings) string { return badURL(s.Log.URL, s.Log.TokenFile != "") }

func checkAgentURL(s *Settings) string {
	return badURL(s.StandinBackend.AgentURL, s.Backend.TokenFile != "")
}

// badURL refuses to send a token in clear text over a network.
func badURL(raw string, token bool) string {
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Sprintf("is %q, must be an http or https URL", raw)
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return "must be a base URL without user, query and fragment"
	}
	ip, err := netip.ParseAddr(u.Hostname())
	if token && u.Scheme == "http" && (err != nil || !ip.Unmap().IsLoopback()) {
		return "a token over http is sent on loopback only; use https"
	}
	return ""
}

func checkServices(s *Settings) string {
	if len(s.StandinBackend.Services) == 0 {
		return "must name a service"
	}
	for _, name := range s.StandinBackend.Services {
		if bad := badName(name, state.MaxIDLength); bad != "" {
			return bad
		}
	}
	return ""
}

// together are keys of which a file names all or none.
var together = [][]string{
	{"tls.cert", "tls.key", "tls.ca"},
	{"http_tls.cert", "http_tls.key"},
	{"log.cert", "log.key"},
}
