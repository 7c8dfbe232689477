package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// Role is the set of operations that a token permits.
type Role string

// The roles, in ascending order. Each includes the permissions of the one before it.
const (
	// RoleCaller may submit to the services of its operator.
	RoleCaller Role = "caller"
	// RoleOperator may also apply declarations of its operator and read the status.
	RoleOperator Role = "operator"
	// RoleAdmin may act for every operator and drain failure domains.
	RoleAdmin Role = "admin"
)

// rank returns the position of a role in the order of roles, or zero for an unknown role.
func (r Role) rank() int {
	switch r {
	case RoleCaller:
		return 1
	case RoleOperator:
		return 2
	case RoleAdmin:
		return 3
	}
	return 0
}

// Token is a bearer token with the operator and role that it authenticates.
type Token struct {
	Secret   string
	Operator string // unused for RoleAdmin
	Role     Role
}

// principal is the authenticated sender of a request.
type principal struct {
	operator string
	role     Role
}

// mayActFor reports whether the principal may act for an operator.
func (p principal) mayActFor(operator string) bool {
	return p.role == RoleAdmin || (p.operator == operator && operator != "")
}

// digestPrefixSize is the number of bytes of a token's digest that form its key in a tokenTable.
const digestPrefixSize = 8

type digestPrefix [digestPrefixSize]byte

// tokenTable maps the prefix of a token's digest to the whole digest, which is compared in
// constant time, and the principal. The duration of a lookup discloses nothing about the secrets,
// because an attacker who guesses tokens can't choose their digests.
type tokenTable map[digestPrefix]tokenEntry

type tokenEntry struct {
	digest    [sha256.Size]byte
	principal principal
}

func newTokenTable(tokens []Token) tokenTable {
	t := make(tokenTable, len(tokens))
	for _, token := range tokens {
		sum := sha256.Sum256([]byte(token.Secret))
		t[digestPrefix(sum[:digestPrefixSize])] = tokenEntry{digest: sum, principal: principal{operator: token.Operator, role: token.Role}}
	}
	return t
}

func (t tokenTable) find(secret string) (principal, bool) {
	// An empty secret in the settings is a mistake and must not grant access.
	if secret == "" {
		return principal{}, false
	}
	sum := sha256.Sum256([]byte(secret))
	e, ok := t[digestPrefix(sum[:digestPrefixSize])]
	if !ok || subtle.ConstantTimeCompare(e.digest[:], sum[:]) != 1 {
		return principal{}, false
	}
	return e.principal, true
}

// authorize authenticates the sender of the request, stores it in x.principal and checks that it
// has at least the role minRole.
func (s *server) authorize(x *exchange, minRole Role) *api.Problem {
	who, ok := s.authenticate(x.req)
	if !ok {
		return api.NewProblem(state.ReasonUnauthorized, x.refusalOutcome, "this attempt was not accepted")
	}
	if who.role.rank() < minRole.rank() {
		return x.forbidden("this needs the role %s", minRole)
	}
	x.principal = who
	return nil
}

// authenticate returns the principal of a request. If no tokens are configured, the loopback
// interface is the only protection, so requests from other addresses are refused whatever address
// the server listens on.
func (s *server) authenticate(req *http.Request) (principal, bool) {
	if len(s.Tokens) == 0 {
		return principal{role: RoleAdmin}, fromLoopback(req)
	}
	scheme, secret, _ := strings.Cut(req.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return principal{}, false
	}
	return s.tokens.find(strings.TrimSpace(secret))
}

func fromLoopback(req *http.Request) bool {
	host, _, err := net.SplitHostPort(req.RemoteAddr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func (x *exchange) forbidden(format string, args ...any) *api.Problem {
	return api.NewProblem(state.ReasonForbidden, x.refusalOutcome, format, args...)
}
