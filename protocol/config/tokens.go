package config

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state/strictjson"
)

// minSecret is the shortest bearer token, in bytes. A shorter one can be
// guessed by trying.
const minSecret = 16

// Token is one bearer token and whom it stands for.
type Token struct {
	Secret string `json:"secret"`
	// Role is caller, operator or admin.
	Role string `json:"role"`
	// Operator is whose services the holder may use; empty for an admin.
	Operator string `json:"operator"`
}

type tokens struct {
	Tokens []Token `json:"tokens"`
}

// LoadTokens reads a tokens file: {"tokens": [{"secret", "role", "operator"}]}.
func LoadTokens(path string) ([]Token, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "tokens")
	}
	return parseTokens(path, src)
}

func parseTokens(name string, src []byte) ([]Token, error) {
	var file tokens
	doc, err := strictjson.DecodeDocument(name, src, &file)
	if err != nil {
		return nil, err
	}
	var faults strictjson.Errors
	seen := make(map[string]bool)
	for i, t := range file.Tokens {
		key := fmt.Sprintf("tokens[%d]", i)
		for _, f := range t.faults(seen[t.Secret]) {
			faults = append(faults, doc.Errorf(key+"."+f.part, "%s", f.msg))
		}
		seen[t.Secret] = true
	}
	return file.Tokens, faults.Err()
}

// tokenFault is what is wrong with one part of a token.
type tokenFault struct {
	part string
	msg  string
}

func (t Token) faults(twice bool) []tokenFault {
	var out []tokenFault
	if len(t.Secret) < minSecret {
		out = append(out, tokenFault{"secret", fmt.Sprintf("must have at least %d bytes", minSecret)})
	} else if twice {
		out = append(out, tokenFault{"secret", "is the secret of an earlier token"})
	}
	switch t.Role {
	case "admin":
		if t.Operator != "" {
			out = append(out, tokenFault{"operator", "must be left out: an admin acts for every operator"})
		}
	case "caller", "operator":
		if bad := badName(t.Operator, maxName); bad != "" {
			out = append(out, tokenFault{"operator", bad})
		}
	default:
		out = append(out, tokenFault{"role", fmt.Sprintf("is %q, must be caller, operator or admin", t.Role)})
	}
	return out
}

// LoadSecret reads a file that holds one bearer token. Space around it is
// dropped.
func LoadSecret(path string) (string, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "token")
	}
	secret := strings.TrimSpace(string(src))
	if secret == "" {
		return "", errors.Errorf("token file %s is empty", path)
	}
	return secret, nil
}
