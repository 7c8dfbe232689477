package api

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/shallotstep/shallotstep/state"
)

// checkName rejects an id or a name that two programs could read differently.
// One of them would then query another job, or start the same job again.
func checkName(field, s string) *Problem {
	if s == "" {
		return malformed("%s is missing or empty", field)
	}
	if len(s) > state.MaxIDLength {
		return malformed("%s is longer than %d bytes", field, state.MaxIDLength)
	}
	// Decoders replace invalid bytes by U+FFFD, which would map two different
	// ids to the same one.
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

// checkSegments rejects "." and ".." as path segments. A proxy would remove them
// from GET /v1/services/{service}/jobs/{id}, and the request would name another
// job.
func checkSegments(field, s string) *Problem {
	for segment := range strings.SplitSeq(s, "/") {
		if segment == "." || segment == ".." {
			return malformed("%s holds the path segment %q", field, segment)
		}
	}
	return nil
}

// CheckID rejects an invalid job id.
func CheckID(id string) *Problem { return checkName("id", id) }

// CheckService rejects an invalid service name.
func CheckService(name string) *Problem { return checkNameWithoutSlash("service", name) }

// CheckOperator rejects an invalid operator name.
func CheckOperator(name string) *Problem { return checkNameWithoutSlash("operator", name) }

// CheckDomain rejects an invalid failure domain name.
func CheckDomain(name string) *Problem { return checkNameWithoutSlash("failure domain", name) }

func checkNameWithoutSlash(field, name string) *Problem {
	if strings.Contains(name, "/") {
		return malformed("%s holds a slash", field)
	}
	return checkName(field, name)
}
