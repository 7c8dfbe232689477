package api

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/shallotstep/shallotstep/state"
)

// checkName refuses an id or a name that two programs might read differently:
// one of them would then ask for another job, or start the same one again.
func checkName(field, s string) *Problem {
	if s == "" {
		return malformed("%s is missing or empty", field)
	}
	if len(s) > state.MaxIDLength {
		return malformed("%s is longer than %d bytes", field, state.MaxIDLength)
	}
	// U+FFFD is what decoders put in place of bytes they can't read: two
	// different ids would become the same one.
	if !utf8.ValidString(s) || strings.ContainsRune(s, utf8.RuneError) {
		return malformed("%s is not valid UTF-8", field)
	}
	if strings.IndexFunc(s, unicode.IsControl) >= 0 {
		return malformed("%s holds a control character", field)
	}
	if strings.TrimSpace(s) != s {
		return malformed("%s begins or ends with white space", field)
	}
	return checkSegments(field, s)
}

// checkSegments refuses "." and ".." as path segments: a proxy on the way
// would drop them from GET /v1/services/{service}/jobs/{id} and so ask for
// another job.
func checkSegments(field, s string) *Problem {
	for segment := range strings.SplitSeq(s, "/") {
		if segment == "." || segment == ".." {
			return malformed("%s holds the path segment %q", field, segment)
		}
	}
	return nil
}

// CheckID refuses an id that can't stand for a job.
func CheckID(id string) *Problem { return checkName("id", id) }

// CheckService refuses a name that can't stand for a service.
func CheckService(name string) *Problem { return checkPlainName("service", name) }

// CheckOperator refuses a name that can't stand for an operator.
func CheckOperator(name string) *Problem { return checkPlainName("operator", name) }

// CheckDomain refuses a name that can't stand for a failure domain.
func CheckDomain(name string) *Problem { return checkPlainName("failure domain", name) }

func checkPlainName(field, name string) *Problem {
	if strings.Contains(name, "/") {
		return malformed("%s holds a slash", field)
	}
	return checkName(field, name)
}
