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

// Role is what the holder of a token may do.
type Role string

// The roles. Each may do what the one before it may.
const (
	// RoleCaller submits to the services of its operator.
	RoleCaller Role = "caller"
	// RoleOperator also declares for its operator and reads the status.
	RoleOperator Role = "operator"
	// RoleAdmin acts for every operator.
	RoleAdmin Role = "admin"
)

// rank orders the roles; an unknown one ranks below all.
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

// Token is one bearer token and whom it stands for.
type Token struct {
	Secret   string
	Operator string // unused for RoleAdmin
	Role     Role
}

// principal is who asks.
type principal struct {
	operator string
	role     Role
}

// actsFor says whether the principal may act for an operator.
func (p principal) mayActFor(operator string) bool {
	return p.role == RoleAdmin || (p.operator == operator && operator != "")
}

// prefixSize is how much of a token's digest finds it in the table.
const digestPrefixSize = 8

type digestPrefix [digestPrefixSize]byte

// tokenTable finds a principal by the start of its token's digest and then
// compares the whole digests in constant time. The time that a lookup takes
// tells nothing about the secrets, because whoever guesses at a token can't
// steer its digest.
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
	// An empty secret in the settings is a mistake and opens nothing.
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

// authorize finds out who asks and whether its role is enough.
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

// authenticate finds out who asks. Without tokens the loopback interface is
// the only protection, so that nobody else is let in, whatever address the
// listener was given.
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
