package docs_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

func section(t *testing.T, file, heading string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	_, after, found := strings.Cut(string(text), "\n"+heading+"\n")
	if !found {
		t.Fatalf("%s has no section %q", file, heading)
	}
	body, _, _ := strings.Cut(after, "\n## ")
	return body
}

var reasonRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([^|]+) \\| ([^|]+) \\| ([^|]+) \\|$")

func TestEveryReasonHasItsEntryAndNoOther(t *testing.T) {
	// The person on call looks up the reason of a refusal. A reason without an
	// entry, or an entry for a reason that the code no longer gives, leaves
	// them alone with it.
	is := is.New(t)
	var documented, known []string
	for _, row := range reasonRow.FindAllStringSubmatch(section(t, "OPERATIONS.md", "## Reasons"), -1) {
		documented = append(documented, row[1])
	}
	for _, reason := range state.Reasons() {
		known = append(known, string(reason))
	}
	slices.Sort(documented)
	slices.Sort(known)
	is.Equal(documented, known) // each once, with meaning, where to look and what to do
}
