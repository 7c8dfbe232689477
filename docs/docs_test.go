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

// section returns the text of a file from after a heading to the next heading of level two.
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

// reasonRow matches a row of the table of reasons: the reason and three more cells.
var reasonRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([^|]+) \\| ([^|]+) \\| ([^|]+) \\|$")

func TestEveryReasonHasItsEntryAndNoOther(t *testing.T) {
	// Operators look up the reason of a refusal in OPERATIONS.md. Guards against a
	// reason without a row in its table, and a row for a reason that the code no
	// longer returns.
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
	is.Equal(documented, known) // each reason has one row, with its meaning, where to look and what to do
}
